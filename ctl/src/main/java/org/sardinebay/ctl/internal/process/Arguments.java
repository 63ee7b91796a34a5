package org.sardinebay.ctl.internal.process;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.sardinebay.Address;

/**
 * The checked arguments of one command.
 *
 * @param command which command
 * @param operands the words that follow it
 * @param platform the platform's address; present unless the command needs none
 * @param file the record file
 * @param ifVersion the version to replace or delete
 * @param schema the schema version wanted
 * @param timeoutMillis how long to wait for each answer
 */
public record Arguments(
    CommandName command,
    List<String> operands,
    Optional<Address> platform,
    Optional<Path> file,
    OptionalLong ifVersion,
    OptionalInt schema,
    long timeoutMillis) {}
