"""A round-robin queue over organisations, first in first out within each."""

from collections import OrderedDict, deque
from typing import Generic, TypeVar

T = TypeVar("T")


class FairQueue(Generic[T]):
    """Returns one item per organisation and round, whatever their queue lengths."""

    def __init__(self) -> None:
        self._queues: OrderedDict[str, deque[T]] = OrderedDict()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def add(self, organisation: str, item: T) -> None:
        """Append an item to the queue of its organisation."""
        self._queues.setdefault(organisation, deque()).append(item)
        self._length += 1

    def pop(self) -> T:
        """Remove and return the first item of the organisation whose turn it is.

        Raises:
            IndexError: the queue is empty.

        """
        if not self._queues:
            raise IndexError("the queue is empty")
        organisation, items = self._queues.popitem(last=False)
        item = items.popleft()
        if items:
            self._queues[organisation] = items
        self._length -= 1
        return item

    def remove(self, organisation: str, item: T) -> None:
        """Remove an item from the queue.

        Raises:
            ValueError: it is not in the queue.

        """
        items = self._queues.get(organisation, deque())
        items.remove(item)
        self._length -= 1
        if not items:
            del self._queues[organisation]
