"""Enable or disable single scheduling decisions to measure their effect."""

import msgspec


class Policy(msgspec.Struct, frozen=True, kw_only=True):
    """Define which decisions a coordinator makes; production enables all of them."""

    affinity: bool = True
    early_refusal: bool = True
    bulk_share: bool = True
    prefill_guard: bool = True
    length_margin: bool = True
    straggler: bool = True
    adaptive_limit: bool = True
    fairness: bool = True
