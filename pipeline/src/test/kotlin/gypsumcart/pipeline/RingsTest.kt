package gypsumcart.pipeline

import org.junit.jupiter.api.Test
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.concurrent.thread

class RingsTest {
    @Test
    fun `a ring refuses new work when only the reserved room is left`() {
        val ring = Ring<Int>("test", capacity = 3, reserved = 1)
        expectThat(ring.offer(1)).isTrue()
        expectThat(ring.offer(2)).isTrue()
        expectThat(ring.offer(3)).isFalse()
    }

    @Test
    fun `an answer finds room in a ring that refuses new work`() {
        val ring = Ring<Int>("test", capacity = 3, reserved = 1)
        ring.offer(1)
        ring.offer(2)
        ring.reply(3)
        expectThat(List(3) { ring.take() }).isEqualTo(listOf(1, 2, 3))
    }

    @Test
    fun `new work that waits for room leaves the reserved room to answers`() {
        val ring = Ring<Int>("test", capacity = 2, reserved = 1)
        ring.put(1)
        val putter = thread { ring.put(2) }
        putter.join(100)
        ring.reply(3)
        expectThat(List(3) { ring.take() }).isEqualTo(listOf(1, 3, 2))
        putter.join()
    }

    @Test
    fun `an answer that nobody has room for is a fault of the wiring`() {
        val ring = Ring<Int>("test", capacity = 1)
        ring.reply(1)
        expectCatching { ring.reply(2) }.isFailure()
    }
}
