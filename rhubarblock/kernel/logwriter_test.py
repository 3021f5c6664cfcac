import io
import os
import threading

from rhubarblock.kernel import logwriter


def test_lines_are_written_in_order():
    stream = io.StringIO()
    writer = logwriter.LogWriter(logwriter.make_write(stream))
    assert writer.put("one\n")
    assert writer.put("two\n")
    writer.close()
    assert stream.getvalue() == "one\ntwo\n"


def test_output_that_nobody_reads_does_not_block_put_and_close():
    reader, output = os.pipe()
    os.set_blocking(reader, False)
    try:
        with os.fdopen(output, "w") as stream:
            writer = logwriter.LogWriter(
                logwriter.make_write(stream), queue_lines=20
            )
            # A pipe holds 64 KiB; the queue fills up behind it.
            line = "x" * 8191 + "\n"
            queued = 0
            for _ in range(100):
                queued += writer.put(line)
            assert 20 <= queued < 100
            writer.close()
            # Reading the pipe unblocks the thread, which then ends.
            while _read(reader):
                pass
    finally:
        os.close(reader)


def _read(descriptor):
    try:
        return os.read(descriptor, 1 << 20)
    except BlockingIOError:
        return b""


def test_failed_write_ends_the_thread():
    written = threading.Event()

    def write(text):
        written.set()
        raise OSError("gone")

    writer = logwriter.LogWriter(write)
    writer.put("one\n")
    assert written.wait(10.0)
    writer.close()
