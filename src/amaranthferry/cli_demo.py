"""Define the `demo` command, which runs a complete system in one process."""

import asyncio
from collections import Counter
from typing import Annotated

import msgspec
import typer

from .embedded import MODEL, OPERATOR_KEY, EmbeddedSystem
from .load import LoadPlan, LoadResult, run_load
from .load_report import format_table
from .logs import set_up_logs
from .workloads import find_workload


class DemoAddress(msgspec.Struct, frozen=True):
    """Describe how clients reach the embedded system."""

    base_urls: tuple[str, ...]
    api_key: str
    operator_key: str
    model: str
    api_keys: dict[str, str]
    platform_url: str


def demo(
    *,
    serve: Annotated[
        bool, typer.Option(help="Run until interrupted; send no load.")
    ] = False,
    port: Annotated[int, typer.Option(help="First port of the entry hosts.")] = 0,
    workload: str = "kyklos",
    rate: float = 12.0,
    duration: float = 12.0,
    seed: int = 1,
    as_json: Annotated[bool, typer.Option("--json")] = False,
    check: Annotated[
        bool,
        typer.Option(
            help="Fail unless every dispatched request ran once and was answered."
        ),
    ] = False,
    log_level: str = "warning",
) -> None:
    """Start stand-in servers and three entry hosts, send a load, print the outcomes."""
    set_up_logs(log_level)
    if serve:
        asyncio.run(_serve(workload, port))
        return
    plan = LoadPlan(
        urls=(),
        keys={},
        workload=workload,
        model=MODEL,
        rate=rate,
        duration=duration,
        seed=seed,
    )
    result, dispatches = asyncio.run(_run(plan))
    if as_json:
        typer.echo(msgspec.json.encode(result).decode())
    else:
        typer.echo(format_table(result))
    if check:
        _check(result, dispatches)


def _check(result: LoadResult, dispatches: Counter[str]) -> None:
    repeated = [name for name, count in dispatches.items() if count > 1]
    unknown = sum(tier.unknown for tier in result.tiers)
    answered = sum(tier.done + tier.late for tier in result.tiers)
    typer.echo(
        f"dispatched {len(dispatches)}, answered {answered}, "
        f"repeated {len(repeated)}, unknown {unknown}"
    )
    if repeated or unknown or not answered or answered != len(dispatches):
        raise typer.Exit(1)


async def _run(plan: LoadPlan) -> tuple[LoadResult, Counter[str]]:
    async with EmbeddedSystem(find_workload(plan.workload)) as system:
        full_plan = msgspec.structs.replace(
            plan, urls=system.base_urls, keys=system.api_keys
        )
        result = await run_load(full_plan)
        return result, sum((e.admitted for e in system.engines), Counter())


async def _serve(workload: str, port: int) -> None:
    async with EmbeddedSystem(find_workload(workload), port=port) as system:
        keys = system.api_keys
        address = DemoAddress(
            base_urls=system.base_urls,
            api_key=next(iter(keys.values())),
            operator_key=OPERATOR_KEY,
            model=MODEL,
            api_keys=keys,
            platform_url=system.platform_url,
        )
        typer.echo(msgspec.json.encode(address).decode())
        await asyncio.Event().wait()
