"""The command `thornport`: a thin main over the library."""

import pathlib
from typing import Annotated

import typer
from returns import result

from thornport.commands import daemons, offline
from thornport.kernel import problem

app = typer.Typer(no_args_is_help=True, help="A cluster scheduler for unlike work.")
settings_app = typer.Typer(no_args_is_help=True, help="Edit the tree of settings.")
app.add_typer(settings_app, name="settings")

StoreOption = Annotated[str, typer.Option(help="URL of the key-value service.")]
Files = Annotated[list[pathlib.Path], typer.Argument(exists=True, dir_okay=False)]

EXIT_REFUSED = 1
EXIT_UNKNOWN = 3


@app.command()
def entry(path: pathlib.Path):
    """Run an entry with the settings of a process."""
    from thornport.entry import daemon

    daemons.run(daemon.Entry, str(path))


@app.command()
def placer(path: pathlib.Path):
    """Run a placer with the settings of a process."""
    from thornport.placement import daemon

    daemons.run(daemon.PlacerDaemon, str(path))


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
        raise typer.Exit(EXIT_REFUSED)
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
    raise typer.Exit(EXIT_REFUSED if error.known else EXIT_UNKNOWN)


def load_or_exit(files):
    """Load declarations, or print every fault and exit.

    Args:
      files: A list of pathlib.Path.
    Returns:
      A dict as Tree.by_path.
    """
    try:
        return offline.load_files(files)
    except problem.ProblemsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_REFUSED) from error


if __name__ == "__main__":
    app()
