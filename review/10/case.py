"""A slow replica leaves: do callers get streams, whose runs it stopped to move them, as complete?"""

import asyncio
import json
import os
import socket
import struct
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins_2 as s  # noqa: E402

MACHINES, REPLICAS = 3, 7
STREAMS = 45
EVENTS = 40
EVENT_S = 0.1
ORDER_S = 0.12  # until an order to move a run is carried out
SLOWER = 8  # srv_grey, slow: x = 8 at a share of 0.15 of the replicas, here one of seven
STAYS_S = 9.0  # after it has said that it leaves: drain_ms (2 s) "and a little longer (at times many seconds)"


def event(number, attempt):
    return f"id: {number}\ndata: piece {number} of {attempt}\n\n".encode()


class Engine(s.Replica):
    """Its streams have no length and no chunks and end with their connection."""

    pool = ()
    pace = 1

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.live, self.copies, self.writers, self.stopped, self.gone = {}, {}, set(), set(), False

    def report(self):
        return {**super().report(), "active": len(self.live)}

    def leaving(self):
        return [("Server-Leaving", "1")] if self.state == "draining" else []

    def seal(self, head):
        return super().seal(head) + self.leaving()

    async def serve(self, reader, writer):
        if self.gone:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    def end(self):
        """The process exits: what is still at work is reset."""
        self.gone = True
        self.server.close()
        for writer in list(self.writers):
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def control(self, head, body, writer):
        order = json.loads(body) if body else {}
        self.record(f"replica {self.instance} gets {head.first} {order}")
        await asyncio.sleep(ORDER_S * self.pace)
        stop = self.live.get(order.get("id"))
        if stop is None:
            writer.write(s.message(404, self.leaving(), phrase="Not Found"))
            return
        made = await stop()
        self.stopped.add(order["id"])
        self.record(f"replica {self.instance} has stopped {order['id']} after event {made} and closed its stream without its end")
        handle = f"h-{order['id']}"
        for replica in self.pool:
            if f"{replica.address}:{replica.port}" == order["to"]:
                replica.copies[f"{self.address}:{self.port}/{handle}"] = made
        writer.write(s.message(200, [("Content-Type", "application/json")] + self.leaving(), json.dumps({"handle": handle, "create_rev": made}).encode()))

    async def run(self, head, body, writer):
        attempt, after, memory = head.get("x-attempt-id"), int(head.get("last-event-id", "0")), head.get("kv-from")
        if memory and self.copies.pop(memory, None) is None:
            writer.write(s.message(503, [("X-Attempt-Id", attempt), ("X-Not-Executed", "1")], phrase="Service Unavailable"))
            return True
        fields = self.seal(head) + [("Content-Type", "text/event-stream"), ("Connection", "close")]
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields) + "\r\n").encode())
        stopping, stopped, made = asyncio.Event(), asyncio.Event(), [after]

        async def stop():
            stopping.set()
            await stopped.wait()
            return made[0]

        self.live[attempt] = stop
        try:
            for number in range(after + 1, EVENTS + 1):
                if stopping.is_set():
                    break
                writer.write(event(number, attempt))
                made[0] = number
                await writer.drain()
                try:
                    await asyncio.wait_for(stopping.wait(), EVENT_S * self.pace)
                except asyncio.TimeoutError:
                    pass
            else:
                self.record(f"replica {self.instance} has completed {attempt}")
            writer.close()
        finally:
            self.live.pop(attempt, None)
            stopped.set()
        return False


async def case(record, directory, hosts):
    platform = s.Platform(record)
    await platform.start()
    routes = [s.route("r-quote", "streaming", "/quote/", "pool", can_resume=False)]
    platform.put("config", "main", s.configuration(1, routes, [s.service("pool", s.ENGINE)], [s.TENANT]))
    pool = [Engine(record, f"i-{number}", "pool", f"127.0.5.{number}") for number in range(1, REPLICAS + 1)]
    for replica in pool:
        replica.pool = pool
        await replica.start()
        platform.put("servers", replica.instance, replica.entry())
    peer_port = s.free_port("127.0.4.1")
    for number in range(MACHINES):
        host = s.Host(directory, number + 1, platform, peer_port)
        hosts.append(host)
        await host.start()
    for host in hosts:
        await host.until_ready()
    await asyncio.sleep(1)

    async def one(number):
        prompt = [("X-Model", "m"), ("X-Token-Usage", "5402,200"), ("X-Prompt-Prefix", f"5c1e07a2:5382,{0x1000 + number:x}:20")]
        return await s.ask(hosts[number % MACHINES], s.request("POST", f"/quote/{number}", f"s-{number}", deadline_ms=15000, headers=prompt, body=b"x"), 30)

    tasks = []
    for number in range(STREAMS):
        tasks.append(asyncio.create_task(one(number)))
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.5)
    leaving = max(pool, key=lambda replica: len(replica.live))
    leaving.pace = SLOWER if s.trouble() else 1
    leaving.state = "draining"
    platform.put("servers", leaving.instance, leaving.entry())
    said = time.monotonic()
    record(f"replica {leaving.instance} with {len(leaving.live)} streams says that it leaves; it works {leaving.pace} times as long as usual")

    async def end_replica():
        await asyncio.sleep(STAYS_S)
        record(f"replica {leaving.instance} ends {time.monotonic() - said:.1f} s after it said that it leaves, with {len(leaving.live)} streams")
        platform.remove("servers", leaving.instance)
        leaving.end()

    ending = asyncio.create_task(end_replica())
    broken = []
    for number, task in enumerate(tasks):
        answer = await task
        events = answer.body.count(b"\n\n")
        record(f"client s-{number}: {answer.status}, {events} events, {'complete' if answer.complete else 'broken off: ' + answer.why}")
        if f"s-{number}" in leaving.stopped and answer.status == 200 and answer.complete and events < EVENTS:
            broken.append(f"ORDER: s-{number} ended as complete after event {events} of {EVENTS}")
    await ending
    return broken


s.play(__file__, case)
