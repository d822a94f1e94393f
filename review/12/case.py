"""A key is taken away while the store comes back from a copy: do all entry hosts learn of it?"""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins_3 as s  # noqa: E402

KEPT = "n2ctnfzs989anu6wsjnb"
TAKEN = "i9n73hh2b9wu3fexd9dn"
AWAY_S = 1.8
COPY_AGE_S = 2.0  # of the copy that the store comes back from, at least
REVOKE_S = s.BOUNDS["revoke_ms"] / 1000.0


async def call_on(caller, sent):
    while True:
        at, attempt, status = await caller.request("ficu95.example", "/read/1")
        sent[attempt] = (at, caller.key, caller.host.name, status)
        await asyncio.sleep(0.2)


async def case(record):
    system = s.System(record)
    sent = {}
    try:
        await system.start(s.configuration(7, [KEPT, TAKEN]))
        callers = [asyncio.create_task(call_on(s.Caller(host, record, key), sent)) for host in system.hosts for key in (KEPT, TAKEN)]
        await asyncio.sleep(5 + random.random())
        drill = asyncio.create_task(system.store.drill(AWAY_S, time.time() - COPY_AGE_S, silent=True)) if s.trouble() else None
        await asyncio.sleep(0.3)
        # The operator takes the key away; it tries until the store takes the write.
        acknowledged = await system.store.write_until_done("config", "main", s.configuration(9, [KEPT]))
        record.say(f"operator: version 9 without the key {TAKEN} acknowledged at revision {system.store.revision}")
        if drill:
            await drill
        await asyncio.sleep(REVOKE_S + 8)
        for caller in callers:
            caller.cancel()
        breaches = []
        counts = {}
        for at, attempt, tenant in system.ran():
            if attempt in sent and sent[attempt][1] == TAKEN and sent[attempt][0] > acknowledged + REVOKE_S:
                host = sent[attempt][2]
                counts[host] = counts.get(host, 0) + 1
                breaches.append(f"{attempt} at {host}: sent {sent[attempt][0] - acknowledged:.2f} s after the acknowledgement with the key that it took away, ran for {tenant}")
        kept = sum(1 for at, key, _, status in sent.values() if key == KEPT and status == 200 and at > acknowledged + REVOKE_S)
        record.say(f"requests with the key that stays, served after the bound: {kept}; with the other one that ran, by host: {counts}")
        if kept == 0:
            raise s.CannotRun("no request was served at all")
        return breaches
    finally:
        await system.stop()


s.run_case(case)
