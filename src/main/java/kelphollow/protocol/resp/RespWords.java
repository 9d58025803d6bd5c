package kelphollow.protocol.resp;

/** The words of the platform's commands and replies, each under the term that the code uses for it. */
final class RespWords {
    /** Reads an object. */
    static final String GET = "OBJ.GET";
    /** Writes an object; its body is the command's last argument. */
    static final String PUT = "OBJ.PUT";

    /** Field of a command: the idempotency key. */
    static final String IDEMPOTENCY_KEY = "k";
    /** Field of a command: the name of the request's class. */
    static final String REQUEST_CLASS = "c";
    /** Field of a command: the name of the volume's plan. */
    static final String PLAN = "t";
    /** Field of a command: the time until the deadline, in milliseconds. */
    static final String TIME_LEFT = "d";
    /** Field of a command: the name of the volume. */
    static final String VOLUME = "volume";
    /** Field of a command: the size of the request, in units. */
    static final String UNITS = "units";
    /** Field of a command: the cell that holds the data; absent for a new object. */
    static final String CELL = "shard";
    /** Field of a command: the number of instances over which the volume is spread. */
    static final String INSTANCES = "hosts";
    /** Field of a command: {@link #MARKED} if the client marks it as a retry of its own. */
    static final String RETRY = "r";
    /** Value of {@link #RETRY}. */
    static final String MARKED = "1";

    /** Field of a node's reply: units that it has served for the volume through other instances since its last reply. */
    static final String UNITS_ELSEWHERE = "cost";
    /** Field of a node's reply: use of the volume over all instances, in percent of its plan's rate. */
    static final String USAGE_PERCENT = "used";
    /** Field of a node's load report: the requests that it has in flight. */
    static final String IN_FLIGHT = "inflight";
    /** Name of {@link #IN_FLIGHT} in the load report that the decision module reads. */
    static final String REPORTED_IN_FLIGHT = "inFlight";

    /** First word of an error reply: not executed for want of capacity. */
    static final String BUSY = "BUSY";
    /** First word of any other error reply. */
    static final String ERROR = "ERR";

    private RespWords() {}
}
