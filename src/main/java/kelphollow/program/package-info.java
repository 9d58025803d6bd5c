/**
 * The program: command line, configuration and the composition of its parts. {@link kelphollow.program.Main} names the
 * commands; {@code PlatformConfig} and {@code ObjectConfig} read and check what operators set; {@code PlatformScheduler} and
 * {@code ObjectScheduler} wire a front, the router with its decision module, a backend and a source of endpoints.
 */
package kelphollow.program;
