"""Late second answers of workers that shed: a request is refused and runs all the same.

Exits with 1 if a request that isn't idempotent was refused and has run, 0 if none was,
and 2 if the case couldn't run.
"""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

SERVICE = "registro-capturas"
WORKERS = 5
SLOTS = 6
WORK_S = 0.012
VMS = 3
CALLERS = 24
PAUSE_S = 0.1
CASE_S = 22.0
GARBLE = {"share": 0.6, "x": 0.03, "for_s": 5.0}
GREY = {"share": 1.0, "x": 0.45, "for_s": 4.0}
STARTS_S = (2.0, 9.0, 16.0)
DEADLINE_MS = 2500
ROUTES = ("alta", "pedido")
"""Routes that may send a request to one worker, and to two."""
PROMISES = (408, 421, 429, 503)


def _is_next(count: int, share: float) -> bool:
    """Return whether the whole part of a share grows with this one."""
    return int(count * share) > int((count - 1) * share)


class Worker:
    """A plain worker that answers in the order of its channels' requests.

    Attributes:
        sheds: Whether it turns away part of its requests.
        repeats: Whether it sends part of its answers again, late.
    """

    def __init__(self, number: int, record: harness.Record) -> None:
        self.worker_id = f"i-registro-{number + 1}"
        self.zone = harness.ZONES[number % len(harness.ZONES)]
        self.sheds = False
        self.repeats = False
        self._record = record
        self._asked = 0
        self._answered = 0
        self._slots = asyncio.Semaphore(SLOTS)

    async def start(self) -> str:
        """Listen and return ``ip:port``."""
        ip = f"{harness.NETWORK}.201"
        self._server = await asyncio.start_server(self._serve, ip, 0)
        return f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        extra = b""
        try:
            while (request := await harness.read_request(reader)) is not None:
                if extra:
                    # The second answer comes where the next one is expected.
                    self._record("extra", worker=self.worker_id, at=request.request_id)
                    writer.write(extra)
                answer = await self._answer(request)
                writer.write(answer)
                await writer.drain()
                extra = answer if self._repeats_this() else b""
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _sheds_this(self) -> bool:
        """Return whether to turn a request away, never more than the share."""
        if not self.sheds:
            return False
        self._asked += 1
        return _is_next(self._asked, GREY["x"])

    def _repeats_this(self) -> bool:
        """Return whether to repeat an answer, never more than the share."""
        if not self.repeats:
            return False
        self._answered += 1
        return _is_next(self._answered, GARBLE["x"])

    async def _answer(self, request: harness.Request) -> bytes:
        headers = {"Request-Id": request.request_id}
        if request.target == "/healthz":
            return harness.encode_response(200, {"Instance-Id": self.worker_id})
        if request.headers.get("expect-instance", self.worker_id) != self.worker_id:
            headers["Instance-Id"] = self.worker_id
            return harness.encode_response(421, headers)
        if self._sheds_this():
            self._record("shed", worker=self.worker_id, id=request.request_id)
            return harness.encode_response(503, headers | {"Not-Executed": "1"})
        async with self._slots:
            self._record("run", worker=self.worker_id, id=request.request_id)
            RUNS[request.request_id] += 1
            await asyncio.sleep(WORK_S)
        headers["Server-Seal"] = f"seal.{self.worker_id}.{request.request_id}"
        return harness.encode_response(200, headers, b"x" * 800, "OK")


RUNS: Counter[str] = Counter()
ENDS: dict[str, int] = {}


async def call_forever(
    number: int, vms: list[harness.Vm], record: harness.Record, until_s: float
) -> None:
    """Send requests on kept channels until the time is up."""
    drawn = random.Random(1000 + number)
    vm = vms[number % len(vms)]
    channel = harness.Channel(vm.ip, vm.front)
    sent = 0
    while time.monotonic() < until_s:
        await asyncio.sleep(drawn.expovariate(1 / PAUSE_S))
        sent += 1
        request_id = f"r{number:02d}-{sent:04d}"
        name = ROUTES[sent % len(ROUTES)]
        headers = harness.client_headers(request_id, DEADLINE_MS)
        record("sent", id=request_id, route=name, vm=vm.name)
        try:
            answer = await channel.ask("POST", f"/{name}/1", headers, b"entry")
        except (OSError, asyncio.IncompleteReadError):
            channel.close()
            record("closed", id=request_id)
            continue
        ENDS[request_id] = answer.status
        record("answered", id=request_id, status=answer.status)
    channel.close()


async def disturb(workers: list[Worker], record: harness.Record) -> None:
    """Have workers shed and repeat answers, each for a time."""
    begun_s = time.monotonic()
    for start_s in STARTS_S:
        await asyncio.sleep(start_s - (time.monotonic() - begun_s))
        record("disruption", kind="srv_grey shed all", **GREY)
        record("disruption", kind="garble extra late", **GARBLE)
        for worker in workers:
            worker.sheds = True
        for worker in workers[: int(GARBLE["share"] * WORKERS)]:
            worker.repeats = True
        await asyncio.sleep(GREY["for_s"])
        for worker in workers:
            worker.sheds = False
        await asyncio.sleep(GARBLE["for_s"] - GREY["for_s"])
        for worker in workers:
            worker.repeats = False
        record("disruption over")


async def run(folder: str, record: harness.Record) -> int:
    """Play the case and return the exit code."""
    store = harness.Store()
    await store.start()
    workers = [Worker(number, record) for number in range(WORKERS)]
    for worker in workers:
        address = await worker.start()
        entry = harness.server_entry(SERVICE, address, worker.zone, SLOTS)
        store.put("servers", worker.worker_id, entry)
    routes = [
        harness.route(name, "non_idempotent", SERVICE, attempts=attempts)
        for attempts, name in enumerate(ROUTES, start=1)
    ]
    services = [harness.plain_service(SERVICE)]
    store.put("op", "config", harness.manifest(7, routes, services))
    vms = [harness.Vm(number, store.address, folder) for number in range(VMS)]
    try:
        for vm in vms:
            await vm.start()
        for vm in vms:
            await vm.wait_ready()
        await asyncio.sleep(2.0)
        until_s = time.monotonic() + CASE_S
        tasks = [
            asyncio.create_task(call_forever(number, vms, record, until_s))
            for number in range(CALLERS)
        ]
        if os.environ.get("TROUBLE") != "0":
            tasks.append(asyncio.create_task(disturb(workers, record)))
        await asyncio.gather(*tasks)
    finally:
        for vm in vms:
            await vm.kill()
        store.stop()
    refused = [one for one, status in ENDS.items() if status in PROMISES]
    broken = sorted(one for one in refused if RUNS[one])
    twice = sorted(one for one, runs in RUNS.items() if runs > 1)
    record("statuses", counts=Counter(ENDS.values()))
    record("refused and run", ids=broken)
    record("run twice", ids=twice)
    served = sum(status == 200 for status in ENDS.values())
    print(f"{len(ENDS)} answered, {served} served, {len(refused)} refused;")
    print(f"refused though run: {broken}; run twice: {twice}")
    if not served:
        return 2
    return 1 if broken or twice else 0


def main() -> int:
    """Run the case."""
    harness.end_at_sigterm()
    record = harness.Record(FOLDER / "record.txt")
    with harness.temporary_folder() as folder:
        try:
            return asyncio.run(run(folder, record))
        except (OSError, RuntimeError, TimeoutError) as error:
            print(f"the case couldn't run: {error!r}")
            return 2


if __name__ == "__main__":
    sys.exit(main())
