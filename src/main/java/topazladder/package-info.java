/**
 * The entry points of the program: {@link topazladder.Main} picks the command, {@link topazladder.Launch} starts the
 * two that run without a command line.
 */
package topazladder;
