"""A replica stops some streams in the middle of an event: do callers get them as complete?"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins_2 as s  # noqa: E402

STREAMS, AT_ONCE = 300, 20
EVENTS = 8
ONE_OF = 50  # garble: x = 0.02 of the answers, at a share of 0.5 of the replicas


def event(number, attempt):
    return f"id: {number}\ndata: piece {number} of {attempt}\n\n".encode()


def chunk(data):
    return b"%x\r\n" % len(data) + data + b"\r\n"


class Streamer(s.Replica):
    faulty = False
    count = 0

    async def run(self, head, body, writer):
        attempt = head.get("x-attempt-id")
        self.count += 1
        stops = self.faulty and self.count % ONE_OF == 0
        fields = self.seal(head) + [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields) + "\r\n").encode())
        for number in range(1, EVENTS + 1):
            if stops and number == EVENTS // 2:
                writer.write(chunk(event(number, attempt)[:12]))
                self.record(f"replica {self.instance} stops {attempt} in the middle of event {number}")
                break
            writer.write(chunk(event(number, attempt)))
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(b"0\r\n\r\n")
        return True


async def case(record, directory, hosts):
    platform = s.Platform(record)
    await platform.start()
    routes = [s.route("r-quote", "streaming", "/quote/", "pool", can_resume=False)]
    platform.put("config", "main", s.configuration(1, routes, [s.service("pool")], [s.TENANT]))
    replicas = [Streamer(record, f"i-{number}", "pool", f"127.0.5.{number}") for number in (1, 2)]
    replicas[0].faulty = s.trouble()
    for replica in replicas:
        await replica.start()
        platform.put("servers", replica.instance, replica.entry())
    host = s.Host(directory, 1, platform, s.free_port("127.0.4.1"))
    hosts.append(host)
    await host.start()
    await host.until_ready()

    broken = []
    places = asyncio.Semaphore(AT_ONCE)

    async def one(number):
        attempt = f"s-{number}"
        async with places:
            answer = await s.ask(host, s.request("POST", f"/quote/{number}", attempt, body=b"x"))
        events = answer.body.count(b"\n\n")
        record(f"client {attempt}: {answer.status}, {events} whole events, {'complete' if answer.complete else 'broken off: ' + answer.why}")
        if answer.status == 200 and answer.complete and events < EVENTS:
            broken.append(f"ORDER: {attempt} ended as complete after event {events} of {EVENTS}; its last bytes are {answer.body[-12:]!r}")

    await asyncio.gather(*(one(number) for number in range(STREAMS)))
    return sorted(broken)


s.play(__file__, case)
