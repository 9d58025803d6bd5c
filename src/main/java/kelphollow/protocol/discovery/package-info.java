/**
 * The platform's discovery: the form of its endpoint list, and the long polls that watch it or the agent on this
 * machine to which it is pushed.
 */
package kelphollow.protocol.discovery;
