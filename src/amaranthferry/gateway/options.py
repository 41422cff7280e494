"""Read the operator's own options of an entry host, an optional INI file."""

from pathlib import Path
from typing import Annotated, Any, Self

import msgspec

from ..catalog import PoolFeatures
from ..exceptions import SettingsError
from ..memory import CONNECTION_SHARE
from ..types import Seconds

Share = Annotated[float, msgspec.Meta(gt=0, lt=1)]


class IntakeOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limit what callers may make a host hold."""

    #: Part of the host's memory for all connections together.
    memory_share: Share = CONNECTION_SHARE
    #: Part of the descriptors for callers' connections. A request in progress takes one
    #: descriptor for its caller and one for its server.
    descriptor_share: Share = 0.5
    #: Time in which a caller reads some of what is left of its responses.
    unread_s: Annotated[Seconds, msgspec.Meta(gt=0)] = 30.0


class HedgingOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Define whether slow requests get a second run, and the limit of the extra work."""

    enabled: bool = False
    #: The extra work, as a fraction of each service's work.
    limit: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.02


class SharingOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Define whether workspaces that compete share engines by what they are allowed."""

    enabled: bool = False


class PlacementOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Define where requests to engines are placed."""

    #: Whether long answers wait for engines that end them by their deadlines.
    hold_long_answers: bool = False


class RelocationOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Define whether runs move between engines whose service allows it."""

    enabled: bool = False


class HostOptions(msgspec.Struct, frozen=True):
    """Define the options of a host; the defaults leave optional features off."""

    intake: IntakeOptions = IntakeOptions()
    hedging: HedgingOptions = HedgingOptions()
    sharing: SharingOptions = SharingOptions()
    placement: PlacementOptions = PlacementOptions()
    relocation: RelocationOptions = RelocationOptions()

    def pool_features(self) -> PoolFeatures:
        """Return which optional decisions the pools make."""
        return PoolFeatures(
            shared_by_allowance=self.sharing.enabled,
            holds_long_answers=self.placement.hold_long_answers,
            moves_runs=self.relocation.enabled,
        )

    @classmethod
    def from_arguments(cls, arguments: list[str]) -> Self:
        """Read the file that the first argument names; without one, use the defaults."""
        return cls.from_file(Path(arguments[0])) if arguments else cls()

    @classmethod
    def from_file(cls, path: Path) -> Self:
        """Read an options file; raise SettingsError for the first error."""
        # Hosts without an options file don't pay for the parser.
        from ..ini import read_ini

        file = read_ini(path, name=str(path))
        if file.errors:
            raise file.errors[0]
        values: dict[str, dict[str, str]] = {title: {} for title in file.section_lines}
        for setting in file.settings:
            values.setdefault(setting.section, {})[setting.key] = setting.value
        sections: dict[str, Any] = {}
        kinds = {field.name: field.type for field in msgspec.structs.fields(cls)}
        for title, keys in values.items():
            line = file.section_lines.get(title, 0)
            if title not in kinds:
                raise SettingsError(
                    f"There is no section [{title}].",
                    remedy=f"Use one of {', '.join(sorted(kinds))}.",
                    file=str(path),
                    line=line,
                )
            try:
                sections[title] = msgspec.convert(keys, kinds[title], strict=False)
            except msgspec.ValidationError as exc:
                raise SettingsError(
                    f"[{title}] can't be read: {exc}.",
                    remedy="Use the keys and values that docs/operate/options.md lists.",
                    file=str(path),
                    line=line,
                ) from exc
        return cls(**sections)
