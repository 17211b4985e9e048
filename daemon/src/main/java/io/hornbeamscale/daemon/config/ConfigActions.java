package io.hornbeamscale.daemon.config;

import io.hornbeamscale.console.BlockingStoreClient;
import io.hornbeamscale.console.PasswordHash;
import io.hornbeamscale.core.audit.HistoryController;
import io.hornbeamscale.core.audit.HistoryResult;
import io.hornbeamscale.core.audit.PublishController;
import io.hornbeamscale.core.audit.PublishRequest;
import io.hornbeamscale.core.audit.PublishResult;
import io.hornbeamscale.core.audit.TrailLimits;
import io.hornbeamscale.core.document.ChangeWarnings;
import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.document.DocumentDiff;
import io.hornbeamscale.core.document.DocumentReadResult;
import io.hornbeamscale.core.document.DocumentYaml;
import io.hornbeamscale.core.error.ServingException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.Random;
import java.util.UUID;

/** Runs the commands of the {@code config} subcommand. Throws {@link IllegalArgumentException} for invalid input. */
final class ConfigActions {
    private static final String ORIGIN = "command line";

    private final BlockingStoreClient store;
    private final ConfigPrinter printer;

    /**
     * Creates the actions.
     *
     * @param store the store, null if its address was not given; commands that need it then fail
     * @param printer prints the results
     */
    ConfigActions(BlockingStoreClient store, ConfigPrinter printer) {
        this.store = store;
        this.printer = printer;
    }

    int run(ConfigOptions.Common options) {
        if (options instanceof ConfigOptions.Get get) {
            return get(get);
        }
        if (options instanceof ConfigOptions.Validate validate) {
            return validate(validate);
        }
        if (options instanceof ConfigOptions.Diff diff) {
            return diff(diff);
        }
        if (options instanceof ConfigOptions.Publish publish) {
            return publish(publish);
        }
        if (options instanceof ConfigOptions.History history) {
            return history(history);
        }
        if (options instanceof ConfigOptions.PasswordHashOptions) {
            return passwordHash();
        }
        return rollback((ConfigOptions.Rollback) options);
    }

    private int passwordHash() {
        String password = readStandardInput().strip();
        if (password.isEmpty()) {
            throw new IllegalArgumentException("the password must be given on standard input");
        }
        printer.line(PasswordHash.create(password, new SecureRandom()));
        return ExitStatus.OK;
    }

    private static String readStandardInput() {
        try {
            return new String(System.in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalArgumentException("cannot read standard input: " + e, e);
        }
    }

    private BlockingStoreClient requireStore() {
        if (store == null) {
            throw new IllegalArgumentException("--store must be given: IP address and port of the platform's store");
        }
        return store;
    }

    private HistoryResult.Read readHistory(long version, int count) {
        HistoryResult result = requireStore().run(new HistoryController(version, count, new Random()));
        if (result instanceof HistoryResult.Failed failed) {
            throw new ServingException(failed.kind(), failed.message());
        }
        return (HistoryResult.Read) result;
    }

    private Document readDocument(long version) {
        return readHistory(version, 0)
                .document()
                .orElseThrow(() -> new IllegalArgumentException("version " + version + " does not exist"));
    }

    private static DocumentReadResult readDocumentFile(List<String> files) {
        if (files.size() != 1) {
            throw new IllegalArgumentException("exactly one FILE must be given, - for standard input");
        }
        String file = files.get(0);
        try {
            String text = file.equals("-") ? readStandardInput() : Files.readString(Path.of(file));
            return DocumentYaml.read(text);
        } catch (IOException | InvalidPathException e) {
            throw new IllegalArgumentException("cannot read " + file + ": " + e, e);
        }
    }

    private int get(ConfigOptions.Get options) {
        HistoryResult.Read read = readHistory(options.version, 0);
        long version = options.version == 0 ? read.head().version() : options.version;
        printer.document(
                version,
                read.document()
                        .orElseThrow(() -> new IllegalArgumentException("version " + version + " does not exist")));
        return ExitStatus.OK;
    }

    private int validate(ConfigOptions.Validate options) {
        DocumentReadResult result = readDocumentFile(options.files);
        if (!result.isValid()) {
            return printer.problems(result.problems());
        }
        Document before = store == null ? Document.empty() : readDocument(0);
        DocumentDiff diff = DocumentDiff.between(before, result.document());
        printer.change("valid", 0, store == null ? new DocumentDiff(List.of()) : diff, ChangeWarnings.of(diff));
        return ExitStatus.OK;
    }

    private int diff(ConfigOptions.Diff options) {
        if (options.files.isEmpty() == (options.to == 0)) {
            throw new IllegalArgumentException("either FILE or --to must be given");
        }
        Document after;
        if (options.to > 0) {
            after = readDocument(options.to);
        } else {
            DocumentReadResult result = readDocumentFile(options.files);
            if (!result.isValid()) {
                return printer.problems(result.problems());
            }
            after = result.document();
        }
        DocumentDiff diff = DocumentDiff.between(readDocument(options.from), after);
        printer.change(diff.isEmpty() ? "equal" : "different", 0, diff, ChangeWarnings.of(diff));
        return ExitStatus.OK;
    }

    private int publish(ConfigOptions.Publish options) {
        DocumentReadResult result = readDocumentFile(options.files);
        return result.isValid() ? publish(options, result.document(), 0) : printer.problems(result.problems());
    }

    private int rollback(ConfigOptions.Rollback options) {
        if (options.versions.size() != 1 || options.versions.get(0) <= 0) {
            throw new IllegalArgumentException("exactly one VERSION from 1 must be given");
        }
        return publish(options, null, options.versions.get(0));
    }

    private int publish(ConfigOptions.Change options, Document document, long rollbackTo) {
        PublishRequest request = new PublishRequest(
                UUID.randomUUID().toString(),
                options.operator,
                ORIGIN,
                System.currentTimeMillis(),
                options.why,
                options.expect,
                document,
                rollbackTo,
                options.acceptsWarnings);
        return report(requireStore().run(new PublishController(request, TrailLimits.STORE, new Random())));
    }

    private int report(PublishResult result) {
        if (result instanceof PublishResult.Published published) {
            printer.change("published", published.version(), published.diff(), published.warnings());
            return ExitStatus.OK;
        }
        if (result instanceof PublishResult.Unchanged unchanged) {
            printer.change("unchanged", unchanged.version(), new DocumentDiff(List.of()), List.of());
            return ExitStatus.OK;
        }
        if (result instanceof PublishResult.Conflict conflict) {
            return printer.conflict(conflict);
        }
        if (result instanceof PublishResult.Invalid invalid) {
            return printer.problems(invalid.problems());
        }
        if (result instanceof PublishResult.NeedsAcceptance unaccepted) {
            printer.change("not published: repeat with --accept-warnings", 0, unaccepted.diff(), unaccepted.warnings());
            return ExitStatus.INVALID_INPUT;
        }
        PublishResult.Failed failed = (PublishResult.Failed) result;
        return printer.failure(
                failed.kind(),
                failed.message() + " Outcome: " + failed.outcome().code() + ".");
    }

    private int history(ConfigOptions.History options) {
        HistoryResult.Read read = readHistory(0, options.count);
        printer.history(read.head().version(), read.records());
        return ExitStatus.OK;
    }
}
