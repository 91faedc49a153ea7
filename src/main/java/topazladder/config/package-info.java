/**
 * What an instance is told from outside, read, checked and given its defaults in one place.
 *
 * <ul>
 * <li>{@link topazladder.config.ServiceSettings}: the environment and the configuration file, in JSON.
 * <li>{@link topazladder.config.SettingsReader}: the part of it that the admission controller is handed.
 * <li>{@link topazladder.config.ExtensionSettings}, read by {@link topazladder.config.ExtensionSettingsFile}: what an
 *     installation switches on beyond that, in protobuf text format.
 * <li>{@link topazladder.config.RolloutPlanFile} and {@link topazladder.config.FaultScheduleFile}: files that operators
 *     give to a command.
 * </ul>
 *
 * <p>All settings are immutable once read. Whatever is wrong ends in one
 * {@link topazladder.config.InvalidSettingsException} that names the key.
 */
package topazladder.config;
