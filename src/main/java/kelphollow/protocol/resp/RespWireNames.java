package kelphollow.protocol.resp;

/** Names and values on the platform's RESP wire, each as a constant named by the term that the code uses for it. */
final class RespWireNames {
    /** Reads an object. */
    static final String GET = "OBJ.GET";
    /** Writes an object; the body is the command's last argument. */
    static final String PUT = "OBJ.PUT";

    /** Field of a command: the idempotency key. */
    static final String IDEMPOTENCY_KEY = "k";
    /** Field of a command: the name of the request's class. */
    static final String REQUEST_CLASS = "c";
    /** Field of a command: the name of the volume's plan. */
    static final String PLAN = "t";
    /** Field of a command: the time left until the deadline, in milliseconds. */
    static final String TIME_LEFT = "d";
    /** Field of a command: the name of the volume. */
    static final String VOLUME = "volume";
    /** Field of a command: the size of the request, in units. */
    static final String UNITS = "units";
    /** Field of a command: the cell that holds the data; absent for a new object. */
    static final String CELL = "shard";
    /** Field of a command: the number of instances that serve the volume. */
    static final String INSTANCES = "hosts";
    /** Field of a command: {@link #RETRY_MARK} if the client marks the request as a retry. */
    static final String RETRY = "r";
    /** Value of {@link #RETRY} that marks a retry. */
    static final String RETRY_MARK = "1";

    /** Field of a node's reply: units served for the volume through other instances since the node's last reply. */
    static final String UNITS_ELSEWHERE = "cost";
    /** Field of a node's reply: the volume's usage over all instances, in percent of its plan's rate. */
    static final String USAGE_PERCENT = "used";
    /** Field of a node's load report: the number of requests in flight on the node. */
    static final String IN_FLIGHT = "inflight";
    /** Name of {@link #IN_FLIGHT} in the load report that the decision module reads. */
    static final String REPORTED_IN_FLIGHT = "inFlight";

    /** Prefix of an error reply: not executed, for lack of capacity. */
    static final String BUSY = "BUSY";
    /** Prefix of any other error reply. */
    static final String ERROR = "ERR";

    private RespWireNames() {}
}
