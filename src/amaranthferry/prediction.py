"""Predict prefill and decode times of a server from measurements."""

from .config import BackendServer
from .types import Seconds, Tokens

#: Windows of recent work over which the current speeds are averaged.
DECODE_WINDOW: Tokens = 400
PREFILL_WINDOW: Tokens = 20_000
#: Window of the long-term averages that stragglers are compared with.
BASELINE_WINDOW: Tokens = 100_000
MAX_BATCH_BITS = 12


class WindowedRate:
    """Average a rate over a window of the latest work."""

    def __init__(self, rate: float, window: float) -> None:
        self._window = window
        self._work = window
        self._seconds = window / rate

    @property
    def rate(self) -> float:
        """Return the work done per second."""
        return self._work / self._seconds

    def add(self, work: float, seconds: Seconds) -> None:
        """Add a sample; the weight of older ones decays as the window fills."""
        decay = self._window / (self._window + work)
        self._work = (self._work + work) * decay
        self._seconds = (self._seconds + seconds) * decay


class SpeedEstimate:
    """Estimate one server's speeds, from its settings until they are measured."""

    def __init__(self, cfg: BackendServer) -> None:
        self._cfg = cfg
        self._prefill = WindowedRate(cfg.prefill_rate, PREFILL_WINDOW)
        self._decode: dict[int, WindowedRate] = {}
        self._baseline_prefill = WindowedRate(cfg.prefill_rate, BASELINE_WINDOW)
        self._baseline_decode: dict[int, WindowedRate] = {}

    @property
    def prefill_rate(self) -> float:
        """Return the prompt tokens prefilled per second."""
        return self._prefill.rate

    def decode_interval(self, batch: int) -> Seconds:
        """Return the time between tokens in a batch of this size."""
        return self._interval(self._decode, batch)

    def baseline_decode(self, tokens: Tokens, batch: int) -> Seconds:
        """Return the decode time of output tokens by the long-term average."""
        return tokens * self._interval(self._baseline_decode, batch)

    def baseline_prefill(self, tokens: Tokens) -> Seconds:
        """Return the prefill time of a prompt by the long-term average."""
        return tokens / self._baseline_prefill.rate

    def service_time(self, prompt: Tokens, output: Tokens) -> Seconds:
        """Return the time that a request takes on an otherwise idle server."""
        return prompt / self.prefill_rate + output * self.decode_interval(1)

    def observe_prefill(
        self, tokens: Tokens, seconds: Seconds, *, baseline: bool = True
    ) -> None:
        """Record the prompt tokens prefilled up to a first token.

        Only `baseline` samples count in the long-term averages.
        """
        self._prefill.add(tokens, seconds)
        if baseline:
            self._baseline_prefill.add(tokens, seconds)

    def observe_decode(
        self, tokens: Tokens, seconds: Seconds, batch: int, *, baseline: bool = True
    ) -> None:
        """Record output tokens that were decoded one after another."""
        if tokens <= 0 or seconds <= 0:
            return
        self._add(self._decode, tokens, seconds, batch, DECODE_WINDOW)
        if baseline:
            self._add(self._baseline_decode, tokens, seconds, batch, BASELINE_WINDOW)

    def _interval(self, table: dict[int, WindowedRate], batch: int) -> Seconds:
        if not table:
            return self._cfg.decode_interval
        size = batch.bit_length()
        if size in table:
            return 1 / table[size].rate
        for distance in range(MAX_BATCH_BITS):
            for nearest in (size + distance, size - distance):
                if nearest in table:
                    return 1 / table[nearest].rate
        return self._cfg.decode_interval

    def _add(
        self,
        table: dict[int, WindowedRate],
        tokens: Tokens,
        seconds: Seconds,
        batch: int,
        window: Tokens,
    ) -> None:
        size = batch.bit_length()
        if size not in table:
            table[size] = WindowedRate(1 / self._interval(table, batch), window)
        table[size].add(tokens, seconds)
