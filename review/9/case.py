"""Case 9: a bad client sends the id of another client's open request: a cobro runs twice."""

from __future__ import annotations

import asyncio

from stage import TROUBLE, UNSAFE, Client, Message, Stage, Upstream, play, request

ROUNDS = 20
WORK_S = (0.095, 0.17)  # the site's work of a cobro: the first is still open when the second one comes
DELAY_S = 0.04


class Careful(Upstream):
    """An upstream that turns away a request whose id is open here, as it can't use it."""

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)  # type: ignore[arg-type]
        self.open_ids: set[str] = set()

    async def _answer(
        self, message: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        identity = message.fields.get("x-correlation-id", "")
        if identity in self.open_ids:
            return self._write(writer, 400, b"")
        self.open_ids.add(identity)
        try:
            return await super()._answer(message, reader, writer)
        finally:
            self.open_ids.discard(identity)


async def status_of(client: Client) -> int | None:
    """Return the status of the next answer, None if there is none."""
    try:
        answer = await client.read(3.0)
    except (OSError, EOFError):
        return None
    return answer.status if answer is not None else None


async def case(stage: Stage) -> bool:
    """Return whether a bad client was served, or a cobro ran twice."""
    upstreams: list[Upstream] = []
    for number in range(4):
        upstream = Careful(f"s-{number:02d}", stage.journal, cell=number // 2, work_s=WORK_S)
        await upstream.start()
        upstreams.append(upstream)
    agent = await stage.agent(upstreams)
    balancer = stage.balancer(agent)
    await balancer.start()
    served = twice = 0
    for number in range(ROUNDS):
        identity = f"cobro-{number}"
        usual, bad = await Client.connect(balancer.port), await Client.connect(balancer.port)
        usual.send(request(identity, UNSAFE))
        await asyncio.sleep(DELAY_S)
        bad.send(request(identity if TROUBLE else f"other-{number}", UNSAFE))
        answers = await asyncio.gather(status_of(usual), status_of(bad))
        ran = [run.upstream for run in stage.journal.ran(identity)]
        stage.record.line(f"{identity}: usual client {answers[0]}, other client {answers[1]}, ran at {ran}")
        if TROUBLE:
            served += answers[1] == 200
        twice += len(ran) > 1
        usual.close()
        bad.close()
    stage.record.tell(f"{ROUNDS} rounds: bad client served {served} times, cobro run twice {twice} times")
    return served > 0 or twice > 0


if __name__ == "__main__":
    play(case, __file__)
