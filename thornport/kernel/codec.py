"""Encoding of the messages between thornport's own processes.

Messages are msgspec structs with a tag, encoded as MessagePack maps. Fields
that a receiver does not know are ignored and fields that a sender does not
know take their defaults, so that mixed versions run side by side in an
upgrade.
"""

import msgspec


class CodecError(Exception):
    """Bytes from a peer are not a message of the expected type."""


class Message(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """The base of every message between processes."""


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
          CodecError: The bytes are not such a message.
        """
        try:
            return self._decoder.decode(data)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise CodecError(str(error)) from error
