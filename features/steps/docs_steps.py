"""Steps that compare the documentation with the code."""

import re
from pathlib import Path

from behave import then
from behave.runner import Context

from comfreyshelf.config_text import SECTION_OPTIONS
from comfreyshelf.reasons import RefusalReason, RetryReason
from comfreyshelf.settings import (
    EntrySettings,
    RunnerStandinSettings,
    StandinSettings,
    TargetSettings,
)
from comfreyshelf.ui.app import app

ROOT = Path(__file__).resolve().parent.parent.parent


def names_of(thing: str) -> set[str]:
    """Return the names that the code defines for this kind of thing."""
    if thing == "process setting":
        kinds = (EntrySettings, TargetSettings, StandinSettings, RunnerStandinSettings)
        return {name for kind in kinds for name in kind.__struct_fields__}
    if thing == "text option":
        return {option for options in SECTION_OPTIONS.values() for option in options}
    if thing == "refusal reason":
        return {reason.value for reason in RefusalReason}
    if thing == "retry reason":
        return {reason.value for reason in RetryReason}
    return {command.name for command in app.registered_commands}


@then("docs/reference/{page}.md names every {thing}")
def page_names_everything(context: Context, page: str, thing: str) -> None:
    text = (ROOT / "docs" / "reference" / f"{page}.md").read_text(encoding="utf-8")
    missing = [name for name in names_of(thing) if not re.search(rf"`{name}\b", text)]
    assert not missing, missing


@then("every relative link of README.md and docs leads to a file")
def links_lead_to_files(context: Context) -> None:
    broken = []
    for page in [ROOT / "README.md", *(ROOT / "docs").rglob("*.md")]:
        for link in re.findall(r"\]\(([^)#:]+)\)", page.read_text(encoding="utf-8")):
            if not (page.parent / link).exists():
                broken.append(f"{page.name}: {link}")
    assert not broken, broken
