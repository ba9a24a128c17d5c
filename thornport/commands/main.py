"""The command `thornport`, a thin layer over the library."""

import pathlib
from typing import Annotated

import msgspec
import typer
from returns import result

from thornport.commands import exits, jobs, offline
from thornport.kernel import daemons, problem
from thornport.load import arrivals, driver
from thornport.load import report as load_report
from thornport.report import burn, logfiles, stages

app = typer.Typer(no_args_is_help=True, help="A cluster scheduler for unlike work.")
settings_app = typer.Typer(no_args_is_help=True, help="Edit the tree of settings.")
app.add_typer(settings_app, name="settings")
app.add_typer(jobs.app, name="jobs")
app.command(name="workspaces")(jobs.workspaces)

StoreOption = Annotated[str, typer.Option(help="URL of the key-value service.")]
Files = Annotated[list[pathlib.Path], typer.Argument(exists=True, dir_okay=False)]


@app.command()
def entry(path: pathlib.Path):
    """Run an entry with a process settings file."""
    from thornport.entry import daemon

    daemons.run(daemon.Entry, str(path))


@app.command()
def placer(path: pathlib.Path):
    """Run a placer with a process settings file."""
    from thornport.placement import daemon

    daemons.run(daemon.PlacerDaemon, str(path))


@app.command()
def load(
    entry: Annotated[list[str], typer.Option(help="URL of an entry; may repeat.")],
    service: str,
    workspace: str,
    rate: Annotated[float, typer.Option(help="Requests a second.")] = 100.0,
    count: Annotated[int, typer.Option(min=1, max=1_000_000)] = 1000,
    tier: Annotated[list[str], typer.Option(help="TIER=SHARE; may repeat.")] = (),
    not_repeatable: Annotated[float, typer.Option(min=0, max=1)] = 0.0,
    deadline_ms: int = 5000,
    body_bytes: int = 200,
    seed: int = 1,
    callers: Annotated[int, typer.Option(help="Closed loop; 0 for open.")] = 0,
    backend: Annotated[list[str], typer.Option(help="Stand-in to count at.")] = (),
    json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
):
    """Send requests, open-loop unless --callers is set; check every answer; report."""
    shares = dict(pair.split("=") for pair in tier) or {"normal": "1"}
    weights = {name: float(share) for name, share in shares.items()}
    mix = arrivals.Mix(rate, count, weights, not_repeatable, deadline_ms, body_bytes)
    where = driver.LoadTarget(list(entry), service, workspace, list(backend))
    made = offline.run_load(where, mix, seed, callers)
    typer.echo(msgspec.json.encode(made) if json else load_report.format_report(made))
    if made.doubled or made.untrue:
        raise typer.Exit(exits.REFUSED)


@settings_app.command()
def check(files: Files):
    """Check declarations; print every fault with its file and line."""
    load_or_exit(files)
    typer.echo("right")


@settings_app.command()
def plan(files: Files, store: StoreOption):
    """Show what the declarations would change, and which branches it reaches."""
    made = offline.plan_files(load_or_exit(files), store)
    if isinstance(made, result.Failure):
        typer.echo(made.failure().reason, err=True)
        raise typer.Exit(exits.REFUSED)
    typer.echo(offline.format_plan(made.unwrap()))


@settings_app.command()
def apply(files: Files, store: StoreOption, revision: int | None = None):
    """Commit the declarations, at the revision that was planned if given."""
    done = offline.apply_files(load_or_exit(files), store, revision)
    if isinstance(done, result.Success):
        typer.echo(f"accepted as revision {done.unwrap().revision}")
        return
    error = done.failure()
    typer.echo(error.reason, err=True)
    for path in error.paths:
        typer.echo(f"  differs: [{path}]", err=True)
    raise typer.Exit(exits.REFUSED if error.known else exits.UNKNOWN)


@app.command()
def report(
    files: Files,
    job: Annotated[str, typer.Option(help="Print all lines of one job.")] = "",
    level: Annotated[float, typer.Option(min=0, max=0.9999, help="In time.")] = 0.99,
    window_s: Annotated[float, typer.Option(min=0.1, help="Of the burn.")] = 60.0,
    json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
):
    """Report on logs: time by stage, by queue and by workspace, and burn."""
    made = logfiles.read_files(files, warn)
    if job:
        typer.echo(logfiles.explain_job(made, job))
        return
    queues = stages.compute_queues(made.jobs)
    workspaces = stages.compute_workspaces(made.jobs)
    windows = burn.compute_windows(made.jobs, level, window_s)
    if json:
        full_report = logfiles.Report(queues, workspaces, windows, made.left_out)
        typer.echo(msgspec.json.encode(full_report))
        return
    typer.echo(stages.format_rows("queue", queues))
    if workspaces:
        typer.echo(stages.format_rows("workspace", workspaces))
    typer.echo(f"\nburn of a level of {level:g}, windows of {window_s:g} s")
    typer.echo(burn.format_windows(windows))
    if made.left_out:
        typer.echo(f"{made.left_out} lines were left out by the processes")


def warn(text):
    """Print a warning."""
    typer.echo(text, err=True)


def load_or_exit(files):
    """Load declarations; if any is faulty, print every fault and exit.

    Args:
      files: A list of pathlib.Path.
    Returns:
      A dict as Tree.by_path.
    """
    try:
        return offline.load_files(files)
    except problem.ProblemsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(exits.REFUSED) from error


if __name__ == "__main__":
    app()
