package io.hornbeamscale.daemon.explain;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Explains what happened to one request, from the logs of one or more processes. */
@Parameters(commandDescription = "Explain what happened to a request, from logs")
public final class ExplainCommand {
    private static final int EXIT_INVALID_ARGUMENTS = 2;
    private static final int EXIT_NOT_FOUND = 1;

    @Parameter(description = "REQUEST-ID FILE...")
    private List<String> arguments = new ArrayList<>();

    @Parameter(names = "--json", description = "Print a JSON object instead of text")
    private boolean isJson;

    @Parameter(names = "--help", help = true, description = "Show the options")
    private boolean isHelp;

    private ExplainCommand() {}

    /**
     * Runs the command.
     *
     * @param args the arguments without the name of the command, not null
     * @param out receives the explanation, not null
     * @param err receives errors of the arguments or the files, not null
     * @return the exit status: 0 on success, 1 if no line has the id, 2 for invalid arguments or an unreadable file
     */
    public static int run(String[] args, PrintStream out, PrintStream err) {
        ExplainCommand command = new ExplainCommand();
        JCommander parser = JCommander.newBuilder()
                .programName("hornbeamscale explain")
                .addObject(command)
                .build();
        try {
            parser.parse(args);
        } catch (ParameterException e) {
            err.println(e.getMessage());
            return EXIT_INVALID_ARGUMENTS;
        }
        if (command.isHelp) {
            StringBuilder usage = new StringBuilder();
            parser.getUsageFormatter().usage(usage);
            out.print(usage);
            return 0;
        }
        if (command.arguments.size() < 2) {
            err.println("explain needs the id of a request and at least one log file");
            return EXIT_INVALID_ARGUMENTS;
        }
        return command.explain(out, err);
    }

    private int explain(PrintStream out, PrintStream err) {
        List<LogLine> lines = new ArrayList<>();
        for (String file : arguments.subList(1, arguments.size())) {
            try {
                read(Path.of(file), lines, err);
            } catch (IOException e) {
                err.println("cannot read " + file + ": " + e.getMessage());
                return EXIT_INVALID_ARGUMENTS;
            }
        }
        Explanation explanation = Explainer.explain(arguments.get(0), lines);
        out.print(isJson ? ExplanationText.json(explanation) : ExplanationText.text(explanation));
        return explanation.path().isEmpty() ? EXIT_NOT_FOUND : 0;
    }

    private static void read(Path file, List<LogLine> lines, PrintStream err) throws IOException {
        int malformed = 0;
        // The log of a killed process can end within a multi-byte character.
        var decoder = StandardCharsets.UTF_8
                .newDecoder()
                .onMalformedInput(CodingErrorAction.REPLACE)
                .onUnmappableCharacter(CodingErrorAction.REPLACE);
        try (BufferedReader reader = new BufferedReader(new InputStreamReader(Files.newInputStream(file), decoder))) {
            for (String text = reader.readLine(); text != null; text = reader.readLine()) {
                Optional<LogLine> line = LogLine.parse(String.valueOf(file.getFileName()), text);
                if (line.isPresent()) {
                    lines.add(line.get());
                } else {
                    malformed++;
                }
            }
        }
        if (malformed > 0) {
            err.println(file + ": " + malformed + " lines are not lines of a structured log");
        }
    }
}
