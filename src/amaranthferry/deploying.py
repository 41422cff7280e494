"""Apply a deployment to a host and to the coordinators on it."""

from . import coordinator_reducer
from .config import Deployment
from .effects import Effect
from .events import SettingsApplied
from .state import HostState


def apply_deployment(state: HostState, deployment: Deployment) -> list[Effect]:
    """Apply a deployment to this host and to the coordinators on it."""
    state.replace_deployment(deployment)
    applied = SettingsApplied(now=state.now, deployment=state.deployment)
    effects: list[Effect] = []
    for coordinator in (*state.coordinators.values(), *state.fallbacks.values()):
        effects += coordinator_reducer.reduce(coordinator, applied)
    return effects
