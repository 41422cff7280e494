"""Define the workloads of the two users, Kyklos and Dalmavest, and of routed requests."""

from .arrivals import Shape, WorkKind, Workload
from .exceptions import AmaranthferryError
from .types import ClassId, TierId, WorkspaceId

URGENT, STANDARD, OVERNIGHT = map(TierId, ("urgent", "standard", "overnight"))
BACKGROUND = TierId("background")

KYKLOS = Workload(
    "kyklos",
    (
        WorkKind(
            workspace=WorkspaceId("field-officers"),
            tier=URGENT,
            tier_rank=0,
            work_class=ClassId("question"),
            class_rank=0,
            share=0.12,
            prompt=(600, 1_400),
            output=(30, 200),
            timeout=10.0,
            prefix_count=12,
            prefix_tokens=512,
        ),
        WorkKind(
            workspace=WorkspaceId("press-house"),
            tier=URGENT,
            tier_rank=0,
            work_class=ClassId("weighing"),
            class_rank=1,
            share=0.06,
            prompt=(300, 500),
            output=(15, 60),
            timeout=15.0,
            shape=Shape.BURSTS,
            burst_size=40,
            prefix_count=3,
            prefix_tokens=256,
        ),
        WorkKind(
            workspace=WorkspaceId("delivery-notes"),
            tier=STANDARD,
            tier_rank=1,
            work_class=ClassId("tagging"),
            class_rank=0,
            share=0.22,
            prompt=(400, 2_000),
            output=(10, 60),
            timeout=45.0,
            prefix_count=4,
            prefix_tokens=256,
        ),
        WorkKind(
            workspace=WorkspaceId("legal-volunteers"),
            tier=OVERNIGHT,
            tier_rank=2,
            work_class=ClassId("review"),
            class_rank=0,
            share=0.60,
            prompt=(8_000, 40_000),
            output=(600, 2_400),
            timeout=120.0,
            deadline_factor=1.1,
            bulk=True,
            shape=Shape.EVENING,
            prefix_count=6,
            prefix_tokens=2_048,
        ),
    ),
)

DALMAVEST = Workload(
    "dalmavest",
    (
        WorkKind(
            workspace=WorkspaceId("research-offices"),
            tier=URGENT,
            tier_rank=0,
            work_class=ClassId("question"),
            class_rank=0,
            share=0.12,
            prompt=(200, 900),
            output=(30, 250),
            timeout=12.0,
            prefix_count=8,
            prefix_tokens=128,
        ),
        WorkKind(
            workspace=WorkspaceId("institute-clerks"),
            tier=URGENT,
            tier_rank=0,
            work_class=ClassId("figure-check"),
            class_rank=1,
            share=0.08,
            prompt=(1_100, 2_000),
            output=(8, 40),
            timeout=15.0,
            prefix_count=10,
            prefix_tokens=1_024,
        ),
        WorkKind(
            workspace=WorkspaceId("costing-desk"),
            tier=STANDARD,
            tier_rank=1,
            work_class=ClassId("proposal"),
            class_rank=0,
            share=0.55,
            prompt=(10_000, 50_000),
            output=(400, 1_600),
            timeout=60.0,
            deadline_factor=1.1,
            shape=Shape.RAMP,
            prefix_count=8,
            prefix_tokens=4_096,
        ),
        WorkKind(
            workspace=WorkspaceId("budget-archive"),
            tier=OVERNIGHT,
            tier_rank=2,
            work_class=ClassId("comparison"),
            class_rank=0,
            share=0.25,
            prompt=(4_000, 12_000),
            output=(200, 800),
            timeout=60.0,
            deadline_factor=1.2,
            bulk=True,
            prefix_count=6,
            prefix_tokens=1_024,
        ),
    ),
)

#: Routed requests with objectives, from many workspaces, whose callers return once.
ROUTED = Workload(
    "routed",
    (
        WorkKind(
            workspace=WorkspaceId("reviewers"),
            tier=URGENT,
            tier_rank=0,
            work_class=ClassId("review"),
            class_rank=0,
            share=0.50,
            prompt=(400, 8_000),
            output=(30, 300),
            timeout=15.0,
            prefix_count=40,
            prefix_tokens=128,
            objective=1.0,
            retries=1,
            workspace_count=5,
        ),
        WorkKind(
            workspace=WorkspaceId("growers"),
            tier=STANDARD,
            tier_rank=1,
            work_class=ClassId("answer"),
            class_rank=0,
            share=0.37,
            prompt=(100, 1_500),
            output=(30, 300),
            timeout=15.0,
            prefix_count=40,
            prefix_tokens=128,
            objective=0.5,
            retries=1,
            workspace_count=5,
        ),
        WorkKind(
            workspace=WorkspaceId("deliveries"),
            tier=BACKGROUND,
            tier_rank=2,
            work_class=ClassId("tag"),
            class_rank=0,
            share=0.13,
            prompt=(200, 3_000),
            output=(5, 60),
            timeout=3.0,
            prefix_count=40,
            prefix_tokens=128,
            objective=0.6,
            retries=1,
            workspace_count=5,
        ),
    ),
)

WORKLOADS = {workload.name: workload for workload in (KYKLOS, DALMAVEST, ROUTED)}


def find_workload(name: str) -> Workload:
    """Return the workload of this name; raise `AmaranthferryError` if unknown."""
    try:
        return WORKLOADS[name]
    except KeyError:
        raise AmaranthferryError(
            f"No workload is named {name!r}.",
            remedy=f"Choose one of: {', '.join(sorted(WORKLOADS))}.",
        ) from None
