import aiohttp
import pytest

from amaranthferry.standins.ledger import LedgerStandIn
from amaranthferry.standins.serving import serve


async def test_effect_is_recorded_when_its_answer_is_lost():
    ledger = LedgerStandIn()
    ledger.lose_answers = 1
    headers = {"X-Request-Id": "r1", "Idempotency-Key": "k1"}
    async with serve(ledger.app) as base, aiohttp.ClientSession() as session:
        with pytest.raises(aiohttp.ClientError):
            await session.post(f"{base}/entries", data=b"10 kg", headers=headers)
        effects = await (await session.get(f"{base}/effects")).json()
    assert effects == [{"request_id": "r1", "idempotency_key": "k1", "body": "10 kg"}]
    assert ledger.admitted == {"r1": 1}
