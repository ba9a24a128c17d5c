"""Odd values for property tests of decoders: extreme numbers, odd texts, deep nesting.

Bodies are made with Python's own json module: it writes numbers and texts that msgspec
refuses to write, as another writer may.
"""

import copy
import json

import msgspec
from hypothesis import strategies as st

NESTED = "<nested>"  # stands for lists that are nested too deeply for any decoder
LONG_NUMBER = "<long number>"  # stands for a number that Python doesn't convert
NESTING = 20_000
LONG_DIGITS = 5_000  # Python converts texts of up to 4,300 digits
PACKED_NESTED = b"\x91" * NESTING + b"\xc0"  # as MessagePack

NUMBERS = (
    *(0, -1, 1, 101, 2**31, 2**53, 2**63 - 1, 2**63, 2**64 - 1, 2**64, -(2**63) - 1),
    *(10**30, 10**400, -(10**400), 0.5, -0.0, 1e300, float("inf"), float("nan")),
)
TEXTS = (
    *("", " ", "7", " 7", "-1", "1_0", "\u0663", "\x00", "\n", "\ud800", "a.b", "x.0"),
    *("x.-1.0.0", "x.0.0.1_0", "x.0.0." + "9" * 400, "x.0.0.+1", "x.0.0.\u0663"),
)
ODD = st.one_of(
    st.sampled_from(NUMBERS),
    st.sampled_from(TEXTS),
    st.sampled_from([None, True, False, [], {}, [[]], [{}], NESTED, LONG_NUMBER]),
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
        lambda inner: (
            st.lists(inner, max_size=4)
            | st.dictionaries(st.text(max_size=5), inner, max_size=4)
        ),
        max_leaves=6,
    ),
)


def list_paths(value):
    """List the paths of a value and of all values in it.

    Args:
      value: A value of JSON.
    Returns:
      A list of tuples of keys and indexes, the outermost path () first.
    """
    if isinstance(value, dict):
        pairs = value.items()
    elif isinstance(value, list):
        pairs = enumerate(value)
    else:
        pairs = ()
    return [(), *((key, *rest) for key, one in pairs for rest in list_paths(one))]


@st.composite
def mutate(draw, valid, odd=ODD):
    """Draw a valid value of which up to three parts are replaced, removed or added.

    Args:
      valid: A value of JSON, of lists and dicts.
      odd: A strategy of the values that replace parts.
    """
    value = json.loads(json.dumps(valid))
    for _ in range(draw(st.integers(1, 3))):
        path = draw(st.sampled_from(list_paths(value)))
        if not path:
            if draw(st.integers(0, 9)) == 0:
                value = copy.deepcopy(draw(odd))
            continue
        holder = value
        for key in path[:-1]:
            holder = holder[key]
        how = draw(st.sampled_from(["replace", "replace", "replace", "cut", "add"]))
        if how == "replace":
            # A copy: what is drawn may be shared, and be replaced in part next.
            holder[path[-1]] = copy.deepcopy(draw(odd))
        elif how == "add" and isinstance(holder, list):
            holder.insert(path[-1], copy.deepcopy(draw(odd)))
        elif isinstance(holder, list):
            del holder[path[-1] :]
        else:
            del holder[path[-1]]
    return value


def encode(value):
    """Encode a value as JSON, as bytes."""
    text = json.dumps(value)
    text = text.replace(json.dumps(NESTED), "[" * NESTING + "]" * NESTING)
    return text.replace(json.dumps(LONG_NUMBER), "9" * LONG_DIGITS).encode()


@st.composite
def bodies(draw, valid):
    """Draw the bytes of an odd or truncated variant of a valid value, or other bytes.

    Args:
      valid: A value of JSON, of lists and dicts.
    """
    how = draw(st.integers(0, 9))
    if how == 0:
        return draw(st.binary(max_size=60))
    if how == 1:
        return encode(draw(ODD))
    body = encode(draw(mutate(valid)))
    if how == 2:
        return body[: draw(st.integers(0, len(body)))]
    if how == 3:
        at = draw(st.integers(0, len(body)))
        return body[:at] + draw(st.binary(min_size=1, max_size=3)) + body[at:]
    return body


def pack(value):
    """Encode a value as MessagePack, whose numbers and texts have to fit.

    Args:
      value: A value of JSON; a number or text that doesn't fit is packed as a float or
        as bytes that are no UTF-8.
    """
    if isinstance(value, dict):
        head = b"\xdf" + len(value).to_bytes(4, "big")
        return head + b"".join(pack(one) for pair in value.items() for one in pair)
    if isinstance(value, (list, tuple)):
        return b"\xdd" + len(value).to_bytes(4, "big") + b"".join(map(pack, value))
    if value == NESTED:
        return PACKED_NESTED
    if isinstance(value, str):
        data = value.encode("utf-8", "surrogatepass")
        return b"\xdb" + len(data).to_bytes(4, "big") + data
    if isinstance(value, int) and not -(2**63) <= value < 2**64:
        return msgspec.msgpack.encode(float("inf"))
    return msgspec.msgpack.encode(value)


@st.composite
def packed(draw, valid):
    """Draw the MessagePack of an odd or truncated variant of a value, or other bytes.

    Args:
      valid: A value of JSON, of lists and dicts.
    """
    how = draw(st.integers(0, 9))
    if how == 0:
        return draw(st.binary(max_size=60))
    if how == 1:
        return pack(draw(ODD))
    data = pack(draw(mutate(valid)))
    if how == 2:
        return data[: draw(st.integers(0, len(data)))]
    if how == 3:
        at = draw(st.integers(0, len(data)))
        return data[:at] + draw(st.binary(min_size=1, max_size=3)) + data[at + 1 :]
    return data
