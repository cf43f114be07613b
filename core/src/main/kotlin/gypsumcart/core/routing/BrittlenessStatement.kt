package gypsumcart.core.routing

/** Describes what a back end says in a response about how many requests it can turn away. */
public sealed class BrittlenessStatement {
    /** The back end falls over if it turns away more than [tolerance] requests in a second for want of room. */
    public data class Brittle(public val tolerance: Int) : BrittlenessStatement()

    /** The back end turns away as many requests as it must. */
    public data object Sturdy : BrittlenessStatement()
}

/** Describes what the end of a call shows of the room at its back end. */
public enum class RoomSignal {
    /** The request no longer uses room, or never did. */
    FREED,

    /** The back end turned the request away, as it does when it has no room. */
    REJECTED,

    /** The caller gave the call up, and the back end may still work on the request. */
    OCCUPIED,
}

/** Describes what became known of a brittle back end. */
public sealed class BrittlenessChange {
    /** The back end falls over if it turns away more than [tolerance] requests in a second. */
    public data class TurnedBrittle(public val tolerance: Int) : BrittlenessChange()

    /** The back end no longer says that it is brittle. */
    public data object TurnedSturdy : BrittlenessChange()

    /** The brittle back end turned a request of this node away. */
    public data object Rejected : BrittlenessChange()

    /** The brittle back end cut a call of this node short, for the first time. */
    public data object Fell : BrittlenessChange()
}
