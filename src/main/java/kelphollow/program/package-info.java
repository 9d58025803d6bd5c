/**
 * The executable: command line, configuration and wiring. {@link kelphollow.program.Main} lists the commands;
 * {@code PlatformConfig} and {@code ObjectConfig} read and validate configuration; {@code PlatformScheduler} and
 * {@code ObjectScheduler} wire a front, the router with its decision module, a backend and a source of endpoints.
 */
package kelphollow.program;
