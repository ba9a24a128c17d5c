"""`thornport jobs`: submit, watch, cancel and explain jobs; prints JSON.

The commands call the HTTP interface of `cell.web`, so operators need no platform
client. The exit code tells a script whether a job may be durable. The key of a
workspace is read from a file or the environment, never from an argument, since all
users of a host can see arguments.
"""

import os
import pathlib
import uuid
from typing import Annotated

import treq
import typer
from twisted.internet import error as neterror
from twisted.web import client as webclient

from thornport.commands import exits, offline

TIMEOUT_S = 10.0  # a process answers within its own limit of 3 s
KEY_VARIABLE = "THORNPORT_KEY"
STATUS_OK = 200
STATUS_UNKNOWN = 504  # the job or its cancellation may be durable
STATUS_NO_ANSWER = 0  # not an HTTP status: the call had no answer and changed nothing

app = typer.Typer(no_args_is_help=True, help="Jobs of a running cell.")

Url = Annotated[
    str,
    typer.Option(
        envvar="THORNPORT_URL",
        help="Metrics address of a scheduler process, http://IP:PORT.",
    ),
]
JobId = Annotated[str, typer.Argument(help="ID of the job.")]


@app.command()
def submit(
    queue: str,
    path: Annotated[pathlib.Path, typer.Argument(exists=True, dir_okay=False)],
    url: Url,
    job_id: Annotated[str, typer.Option("--id", help="The same ID is one job.")] = "",
    key_file: Annotated[
        pathlib.Path | None,
        typer.Option(
            exists=True,
            dir_okay=False,
            help=f"File with a key of the workspace; else {KEY_VARIABLE} has it.",
        ),
    ] = None,
):
    """Submit a job that a JSON file describes."""
    chosen = job_id or uuid.uuid4().hex[:16]
    target = f"{url}/v1/queues/{queue}/jobs/{chosen}"
    call("PUT", target, path.read_bytes(), read_key(key_file))


@app.command()
def show(job_id: JobId, url: Url):
    """Show a job's state; at the owner, also its steps and what they wait for."""
    call("GET", f"{url}/v1/jobs/{job_id}")


@app.command()
def cancel(job_id: JobId, url: Url):
    """Cancel a job."""
    call("DELETE", f"{url}/v1/jobs/{job_id}")


@app.command(name="list")
def list_jobs(
    url: Url,
    state: Annotated[str, typer.Option(help="Only jobs in this state.")] = "",
):
    """List the jobs that the owner of the cell knows."""
    query = f"?state={state}" if state else ""
    call("GET", f"{url}/v1/jobs{query}")


@app.command()
def queues(url: Url, name: Annotated[str, typer.Argument()] = ""):
    """List the queues, or show one with the jobs that wait in it."""
    call("GET", f"{url}/v1/queues" + (f"/{name}" if name else ""))


def workspaces(url: Url):
    """Show each workspace's share, limit, use and waiting jobs, at the owner."""
    call("GET", f"{url}/v1/workspaces")


def read_key(path):
    """Read the key of a workspace.

    Args:
      path: A pathlib.Path of the file with the key; None to read the environment.
    Returns:
      A str, empty if there is no key.
    """
    if path is not None:
        return path.read_text(encoding="utf-8").strip()
    return os.environ.get(KEY_VARIABLE, "")


def call(method, url, body=None, key=""):
    """Send a request to a process, print the answer and exit by its status.

    Args:
      method, url: A str each.
      body: Bytes or None.
      key: A str, the key of a workspace; empty for none.
    Raises:
      typer.Exit: The status is not STATUS_OK.
    """
    status, text = offline.run_in_reactor(lambda reactor: ask(method, url, body, key))
    typer.echo(text, err=status != STATUS_OK)
    if status == STATUS_UNKNOWN:
        raise typer.Exit(exits.UNKNOWN)
    if status != STATUS_OK:
        raise typer.Exit(exits.REFUSED)


async def ask(method, url, body, key=""):
    """Send a request to a process.

    Args:
      method, url, body, key: As for `call`.
    Returns:
      A pair of the status and the text of the answer. Without an answer the status
      is STATUS_UNKNOWN if the request may have changed something, else
      STATUS_NO_ANSWER.
    """
    try:
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        response = await treq.request(
            method, url, data=body, headers=headers, timeout=TIMEOUT_S
        )
        return response.code, await response.text()
    except neterror.ConnectError as failure:
        return STATUS_NO_ANSWER, f"{url}: not connected: {failure}"
    except (webclient.ResponseFailed, neterror.ConnectionLost, TimeoutError) as failure:
        status = STATUS_NO_ANSWER if method == "GET" else STATUS_UNKNOWN
        return status, f"{url}: no answer: {failure}"
