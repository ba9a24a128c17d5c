"""The main job: a request answered and a job finished, by separate processes."""

import sys

from tests import harness, schedulers

REQUESTS = 20


def main():
    """Run it; the exit status is 0 only if all of it happened."""
    cell = harness.Cell()
    try:
        show(cell)
    finally:
        cell.close()
    cell = schedulers.Schedulers(2)
    try:
        show_jobs(cell)
    finally:
        cell.close()


def show(cell):
    """Start everything, send requests, wait for the job, and say what happened."""
    cell.start_platform()
    cell.start_backends("press-desk", 2)
    cell.start_worker("worker-1", rack="r1", hall="h1")
    print("started: key-value service, list of VMs, 2 backend servers, 1 worker")
    cell.start_entry("entry-1")
    cell.start_placer("placer-1")
    print("started: entry-1, placer-1")
    print("settings:", cell.apply().strip())
    cell.wait_ready("entry-1")
    for number in range(REQUESTS):
        body = f"quote {number}".encode()
        answer = cell.request("entry-1", body)
        if answer.status != 200 or answer.data != body:
            sys.exit(f"request {number}: status {answer.status}, {answer.data!r}")
    print(f"requests: {REQUESTS} answered, each with its own answer")
    url = cell.url("placer-1", "/v1/jobs")

    def is_finished():
        job = harness.call_json("GET", url).get("edition")
        return job and job["finished"] and job

    job = harness.wait_until(is_finished, "job edition finished")
    print(f"job edition: {len(job['tasks'])} tasks finished on worker-1")


def show_jobs(cell):
    """Hand in a job with a gang and a step after it, and say what happened."""
    print("started: the users' platform (store, 3 workers, advice), 2 schedulers")
    job_id, status = cell.submit(cell.names[0], schedulers.make_job(4, gang=True))
    print(f"job {job_id}: accepted with {status}, a gang of 4 and a step after it")
    cell.wait_state(cell.names[1], job_id, "succeeded")
    starts = [task for task, _, _ in cell.read_seen()["starts"]]
    print(f"job {job_id}: succeeded, as the other scheduler says too; starts: {starts}")


if __name__ == "__main__":
    main()
