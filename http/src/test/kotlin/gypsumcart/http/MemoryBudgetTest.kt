package gypsumcart.http

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue

class MemoryBudgetTest {
    private val budget = MemoryBudget(CAPACITY)

    private fun open(traffic: Traffic = Traffic.Forwarded) = budget.open(traffic)

    private fun Reservation.growWithoutEnd(): Long {
        while (tryGrow(PIECE)) continue
        return heldBytes
    }

    @Test
    fun `one message takes no more than it leaves for others`() {
        expectThat(open().growWithoutEnd()).isGreaterThan(CAPACITY / 3).isLessThanOrEqualTo(CAPACITY / 2)
    }

    @Test
    fun `many messages that grow without end get equal shares and leave some for the next`() {
        val messages = List(240) { open() }
        while (messages.count { it.tryGrow(PIECE) } > 0) continue
        expectThat(budget.heldBytes).isLessThanOrEqualTo(CAPACITY)
        val share = messages.maxOf { it.heldBytes }
        expectThat(messages.minOf { it.heldBytes }).isGreaterThanOrEqualTo(share - PIECE)
        expectThat(open().growWithoutEnd()).isGreaterThanOrEqualTo(share / 2 - PIECE)
    }

    @Test
    fun `neither kind of traffic can use the reserve of the other one`() {
        for (traffic in listOf(Traffic.Forwarded, Traffic.Control)) {
            val full = MemoryBudget(CAPACITY)
            val other = if (traffic == Traffic.Control) Traffic.Forwarded else Traffic.Control
            val messages = List(1_000) { full.open(traffic) }
            while (messages.count { it.tryGrow(PIECE) } > 0) continue
            expectThat(full.open(other).tryGrow(SMALL)).isTrue()
            expectThat(full.heldBytes).isLessThanOrEqualTo(CAPACITY)
        }
    }

    @Test
    fun `what a closed message held is available again`() {
        val first = open()
        val held = first.growWithoutEnd()
        expectThat(open().tryGrow(held.toInt())).isFalse()
        first.close()
        expectThat(budget.heldBytes).isEqualTo(0)
        expectThat(open().tryGrow(held.toInt())).isTrue()
    }

    @Test
    fun `bytes that another message takes over stay held`() {
        val response = open().also { it.tryGrow(PIECE) }
        val request = open().also { it.takeOver(response) }
        response.close()
        expectThat(budget.heldBytes).isEqualTo(PIECE.toLong())
        request.close()
        expectThat(budget.heldBytes).isEqualTo(0)
    }

    @Test
    fun `messages that do not fit are counted`() {
        open().tryGrow(CAPACITY.toInt())
        expectThat(budget.refusals).isEqualTo(1)
    }

    private companion object {
        const val CAPACITY = 1_000_000L
        const val PIECE = 100
        const val SMALL = 32_000
    }
}
