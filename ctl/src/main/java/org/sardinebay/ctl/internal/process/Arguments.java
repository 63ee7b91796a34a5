package org.sardinebay.ctl.internal.process;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.sardinebay.Address;

/**
 * The validated arguments of one command.
 *
 * @param command the command
 * @param operands the operands of the command
 * @param platform the platform's address; present if the command calls the platform
 * @param file the record file
 * @param ifVersion the version to replace or delete
 * @param schema the requested schema version
 * @param timeoutMillis the timeout of each call in milliseconds
 */
public record Arguments(
    CommandName command,
    List<String> operands,
    Optional<Address> platform,
    Optional<Path> file,
    OptionalLong ifVersion,
    OptionalInt schema,
    long timeoutMillis) {}
