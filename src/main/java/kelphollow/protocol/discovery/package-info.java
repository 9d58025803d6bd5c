/**
 * The protocol of the platform's discovery service: the format of its endpoint list, and the long polls that watch the
 * service, or the agent on this machine to which it pushes the list.
 */
package kelphollow.protocol.discovery;
