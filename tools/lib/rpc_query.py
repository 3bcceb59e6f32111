"""Sends one QUERY to a daemon over its RPC port, with the subset of the Thrift compact protocol that it needs."""

import json
import socket
import struct

I32, I64, BINARY = 5, 6, 8
REQUEST, QUERY = 1, 7


def encode_varint(value):
    out = bytearray()
    while value > 0x7F:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    out.append(value)
    return bytes(out)


def encode_zigzag(value):
    return encode_varint(value << 1 if value >= 0 else (-value << 1) - 1)


def encode_binary(value):
    data = value if isinstance(value, bytes) else value.encode()
    return encode_varint(len(data)) + data


def encode(fields):
    """Encodes a struct from (id, type, value) in ascending order of ids that are at most 15 apart."""
    out, last = bytearray(), 0
    for number, kind, value in fields:
        out.append((number - last) << 4 | kind)
        out += encode_binary(value) if kind == BINARY else encode_zigzag(value)
        last = number
    return bytes(out) + b"\0"


class Reader:
    """Reads the fields of one compact struct of integers, booleans and strings."""

    def __init__(self, data):
        self.data = data
        self.offset = 0

    def read_byte(self):
        self.offset += 1
        return self.data[self.offset - 1]

    def read_varint(self):
        value, shift = 0, 0
        while True:
            byte = self.read_byte()
            value |= (byte & 0x7F) << shift
            shift += 7
            if byte < 0x80:
                return value

    def read_signed(self):
        value = self.read_varint()
        return value >> 1 ^ -(value & 1)

    def read_fields(self):
        values, last = {}, 0
        while True:
            head = self.read_byte()
            if head == 0:
                return values
            last = last + (head >> 4) if head >> 4 else self.read_signed()
            values[last] = self.read_value(head & 15)

    def read_value(self, kind):
        if kind in (1, 2):
            return kind == 1
        if kind in (I32, I64):
            return self.read_signed()
        if kind == BINARY:
            size = self.read_varint()
            self.offset += size
            return self.data[self.offset - size:self.offset]
        raise ValueError(f"unexpected field type {kind}")


def read_exactly(connection, size):
    data = b""
    while len(data) < size:
        part = connection.recv(size - len(data))
        if not part:
            raise OSError("connection closed in the middle of a frame")
        data += part
    return data


def query(address, kind, timeout=5):
    """Returns the parsed JSON of the answer to a QUERY of the given kind. Raises OSError or ValueError."""
    host, port = address.split(":")
    body = encode([(1, BINARY, kind), (2, BINARY, "")])
    frame = encode([(1, I32, 1), (2, I32, REQUEST), (3, I64, 1), (4, I32, QUERY), (5, I64, timeout * 1000),
                    (9, BINARY, body)])
    with socket.create_connection((host, int(port)), timeout=timeout) as connection:
        connection.sendall(struct.pack(">I", len(frame)) + frame)
        while True:
            size = struct.unpack(">I", read_exactly(connection, 4))[0]
            answer = Reader(read_exactly(connection, size)).read_fields()
            if answer.get(2) == 2:  # skips the peer's pings and pongs
                break
    if answer.get(7, 0) != 0:
        raise ValueError(f"{address}: {answer.get(8, b'').decode()}")
    return json.loads(Reader(answer[9]).read_fields()[2])
