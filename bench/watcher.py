"""Watching the settings in the store, as the first version of an entry did."""

from returns import result

from thornport.kernel import logs, tasks
from thornport.settings import editing, tree

WATCH_WAIT_S = 30.0
RETRY_STORE_S = 0.5
NEVER_READ = -1


async def watch_head(reactor, store, take):
    """Hand over every value of the head, for ever.

    Args:
      reactor: Twisted's reactor.
      store: A store client.
      take: A callable of bytes, which may raise tree.TreeError.
    """
    index = NEVER_READ
    while True:
        read = await store.watch(editing.HEAD_KEY, index, WATCH_WAIT_S)
        if isinstance(read, result.Failure):
            logs.log("store-unavailable", reason=read.failure().reason)
            await tasks.sleep(reactor, RETRY_STORE_S)
            continue
        item = read.unwrap()
        index = item.index
        try:
            take(item.value)
        except tree.TreeError as error:
            logs.log("settings-unreadable", reason=str(error))
