"""The background writer: order, limit, a held-up and a failing output."""

import threading

import mothshed.runtime.background_writer as background_writer


class Output:
    """An output that can be held up, or made to fail."""

    def __init__(self):
        self.texts, self.released, self.is_broken = [], threading.Event(), False
        self.released.set()

    def write(self, text):
        self.released.wait(30)
        if self.is_broken:
            raise OSError("injected")
        self.texts.append(text)


def started(output, max_pending=10):
    writer = background_writer.BackgroundWriter(
        output.write, lambda count: writer.write(f"{count} dropped\n"), max_pending
    )
    writer.start()
    return writer


def test_texts_are_written_in_order():
    output = Output()
    writer = started(output, 1000)
    for number in range(100):
        writer.write(f"{number}\n")
    assert writer.flush(10) and "".join(output.texts) == "".join(f"{number}\n" for number in range(100))


# Guards against callers that wait for an output that nobody reads, and against memory that grows meanwhile.
def test_a_held_up_output_holds_up_nobody_and_what_exceeds_the_limit_is_dropped_and_told():
    output = Output()
    writer = started(output)
    output.released.clear()
    writer.write("first\n")
    assert not writer.flush(0.05)
    for _ in range(50):
        writer.write("12345\n")
    assert writer.pending_characters <= 10 and not writer.flush(0.05)
    output.released.set()
    assert writer.flush(10)
    writer.write("last\n")
    assert writer.flush(10) and "last\n" in output.texts
    assert "".join(output.texts).replace("\n", " ").split()[0] == "first"
    dropped = sum(int(line.split()[0]) for line in "".join(output.texts).splitlines() if line.endswith(" dropped"))
    assert dropped + "".join(output.texts).count("12345") == 50


def test_a_text_that_exceeds_the_limit_alone_is_written():
    output = Output()
    writer = started(output)
    writer.write("x" * 100)
    assert writer.flush(10) and output.texts == ["x" * 100]


def test_a_text_that_cant_be_written_counts_as_dropped():
    output = Output()
    writer = started(output)
    output.is_broken = True
    for text in ("lost\n", "lost too\n"):
        writer.write(text)
        assert writer.flush(10)
    output.is_broken = False
    writer.write("next\n")
    assert writer.flush(10) and output.texts == ["next\n", "2 dropped\n"]
