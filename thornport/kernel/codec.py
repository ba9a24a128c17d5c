"""Encodes the messages between the processes of thornport.

Messages are tagged msgspec structs, encoded as MessagePack maps. Unknown fields
are ignored and missing fields take their defaults, so that two versions can run
side by side during an upgrade.
"""

from typing import Annotated

import msgspec

# The largest int of values in the store and of what is made of them, such as sums of
# times: MessagePack has 64 bits.
MAX_WHOLE = 2**63 - 1
Whole = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)]


class CodecError(Exception):
    """Bytes from a peer that are not a message of the expected type."""


class Message(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """The base class of all messages between processes."""


class Codec:
    """Encodes and decodes one closed set of message types."""

    __slots__ = ("_decoder", "_encoder")

    def __init__(self, message_type):
        """Prepare the encoder and the decoder.

        Args:
          message_type: A struct type or a union of them.
        """
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(message_type)

    def encode(self, message):
        """Encode a message.

        Args:
          message: A struct.
        Returns:
          Bytes.
        """
        return self._encoder.encode(message)

    def decode(self, data):
        """Decode a message.

        Args:
          data: Bytes from a peer.
        Returns:
          A struct of one of the types given at construction.
        Raises:
          CodecError: The bytes are not a message of those types.
        """
        try:
            return self._decoder.decode(data)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise CodecError(str(error)) from error
