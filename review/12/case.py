"""The operator takes the last customer away: are its keys refused from then on?"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins_3 as s  # noqa: E402

KEY = "n2ctnfzs989anu6wsjnb"
OTHER = "i9n73hh2b9wu3fexd9dn"
NEVER = "k0never0held0by0any0"
REVOKE_S = s.BOUNDS["revoke_ms"] / 1000.0
PLAIN = {"priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0}
LEAVING = {"name": "hule930", "api_keys": [KEY], **PLAIN}
STAYING = {"name": "fida11", "api_keys": [OTHER], **PLAIN}


async def call_on(caller, path, sent):
    while True:
        at, attempt, status = await caller.request("ficu95.example", path)
        sent[attempt] = (at, caller.key, caller.host.name, status)
        await asyncio.sleep(0.25)


async def case(record):
    system = s.System(record)
    sent = {}
    # With TROUBLE=0 another customer stays, so that the list of customers isn't empty afterwards.
    others = [] if s.trouble() else [STAYING]
    try:
        await system.start(s.configuration(7, [], {"tenants": [LEAVING, *others]}))
        callers = [asyncio.create_task(call_on(s.Caller(host, record, key), path, sent)) for host in system.hosts for key in (KEY, NEVER) for path in ("/read/1", "/place/1")]
        await asyncio.sleep(4)
        acknowledged = await system.store.write_until_done("config", "main", s.configuration(9, [], {"tenants": others}))
        record.say(f"operator: version 9 without the customer {LEAVING['name']}, customers left: {[entry['name'] for entry in others]}, acknowledged")
        await asyncio.sleep(REVOKE_S + 5)
        for caller in callers:
            caller.cancel()
        breaches = []
        for at, attempt, tenant in system.ran():
            if attempt not in sent:
                continue
            sent_at, key, host, _ = sent[attempt]
            if key == NEVER:
                breaches.append(f"ROUTE {attempt} at {host}: sent {sent_at - acknowledged:.2f} s after the acknowledgement with a key that no configuration ever held, ran for {tenant}")
            elif sent_at > acknowledged + REVOKE_S:
                breaches.append(f"CONFIG {attempt} at {host}: sent {sent_at - acknowledged:.2f} s after the acknowledgement with a key that it took away, ran for {tenant}")
        statuses = {}
        for sent_at, key, _, status in sent.values():
            when = "before" if sent_at < acknowledged else "after the bound" if sent_at > acknowledged + REVOKE_S else "between"
            statuses[(key, when, status)] = statuses.get((key, when, status), 0) + 1
        record.say("answers: " + ", ".join(f"{key} {when} {status}: {count}" for (key, when, status), count in sorted(statuses.items(), key=str)))
        return breaches
    finally:
        await system.stop()


s.run_case(case)
