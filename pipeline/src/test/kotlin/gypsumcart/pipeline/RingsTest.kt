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
    fun `offer returns false when only the reserved capacity is free`() {
        val ring = Ring<Int>("test", capacity = 3, reservedCapacity = 1)
        expectThat(ring.offer(1)).isTrue()
        expectThat(ring.offer(2)).isTrue()
        expectThat(ring.offer(3)).isFalse()
    }

    @Test
    fun `a reply is added to a ring that rejects other events`() {
        val ring = Ring<Int>("test", capacity = 3, reservedCapacity = 1)
        ring.offer(1)
        ring.offer(2)
        ring.reply(3)
        expectThat(List(3) { ring.take() }).isEqualTo(listOf(1, 2, 3))
    }

    @Test
    fun `a put that waits for capacity leaves the reserved capacity to replies`() {
        val ring = Ring<Int>("test", capacity = 2, reservedCapacity = 1)
        ring.put(1)
        val producer = thread { ring.put(2) }
        producer.join(100)
        ring.reply(3)
        expectThat(List(3) { ring.take() }).isEqualTo(listOf(1, 3, 2))
        producer.join()
    }

    @Test
    fun `a reply to a full ring throws`() {
        val ring = Ring<Int>("test", capacity = 1)
        ring.reply(1)
        expectCatching { ring.reply(2) }.isFailure()
    }
}
