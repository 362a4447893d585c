#include "ctl/run.h"

#include "config/document_json.h"
#include "http_call.h"
#include "query/parser.h"
#include "table.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <optional>
#include <ostream>
#include <string_view>

namespace banyancroft::ctl {

namespace {

constexpr unsigned statusDone = 200;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusOutcomeUnknown = 504;

ExitCode fail(std::ostream& err, const Error& reason, ExitCode code)
{
    err << "banyancroftctl: " << reason.message << "; " << reason.remedy << "\n";
    return code;
}

bool mayChangeSomething(const query::Statement& statement)
{
    return query::isOperatorCommand(statement) || std::holds_alternative<query::Submit>(statement);
}

// The word in "outcome" goes before the status, since a proxy may answer with a status of its own.
ExitCode exitCodeOf(const HttpAnswer& answer, bool mayChange)
{
    if (answer.status == statusDone)
        return ExitDone;
    const auto json = nlohmann::json::parse(answer.body, nullptr, false);
    const bool fromDaemon = json.is_object() && json.contains("outcome");
    const bool isUnknown = fromDaemon ? json["outcome"] == "unknown" : answer.status >= statusOutcomeUnknown;
    if (isUnknown && mayChange)
        return ExitUnknown;
    return answer.status == statusConflict ? ExitConflict : ExitFailed;
}

ExitCode send(const Settings& settings, const std::string& text, std::ostream& out, std::ostream& err)
{
    Error reason;
    const auto statement = query::parseStatement(text, reason);
    if (!statement)
        return fail(err, reason, ExitUsage);
    const bool mayChange = mayChangeSomething(*statement);
    bool sent = false;
    const auto answer = postStatement(settings, text, sent, reason);
    if (!answer && sent && mayChange) {
        reason.remedy = "the statement may have taken effect; look with `status` or `show config`, or send a "
                        "submit again with the same key";
        return fail(err, reason, ExitUnknown);
    }
    if (!answer)
        return fail(err, reason, ExitFailed);
    const ExitCode code = exitCodeOf(*answer, mayChange);
    std::ostream& target = code == ExitDone ? out : err;
    target << (settings.format == Format::Json ? answer->body : renderTable(answer->body));
    if (answer->body.empty() || answer->body.back() != '\n')
        target << '\n';
    return code;
}

std::optional<std::string> readFile(const std::string& path, Error& reason)
{
    std::ifstream file(path, std::ios::binary);
    // One byte more than allowed, so that the limit is noticed without reading all of a huge file.
    std::string text(config::maxDocumentBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (!file.is_open() || file.bad()) {
        reason = { ErrorKind::NotFound, "the file \"" + path + "\" cannot be read",
            "give the path of a configuration document" };
        return std::nullopt;
    }
    text.resize(static_cast<std::size_t>(file.gcount()));
    return text;
}

void describe(const config::Document& document, std::ostream& out)
{
    std::size_t groups = 0;
    std::size_t upstreams = 0;
    for (const auto& service : document.services) {
        groups += service.groups.size();
        for (const auto& group : service.groups)
            upstreams += group.upstreams.size();
    }
    out << "valid: deployment " << document.deployment << ", version " << document.version << ", layout "
        << document.layout << ", " << document.zones.size() << " zones, " << document.services.size()
        << " services, " << groups << " groups, " << upstreams << " upstreams\n";
}

ExitCode runConfig(
    const Settings& settings, std::span<const std::string> arguments, std::ostream& out, std::ostream& err)
{
    const bool isCheck = arguments.size() == 2 && arguments[0] == "check";
    const bool isPut = arguments.size() >= 2 && arguments[0] == "put";
    if (!isCheck && !isPut) {
        return fail(err,
            { ErrorKind::InvalidInput, "wrong arguments after config",
                "use `config check FILE` or `config put FILE [if version N] [force]`" },
            ExitUsage);
    }
    Error reason;
    const auto text = readFile(arguments[1], reason);
    if (!text)
        return fail(err, reason, ExitUsage);
    const auto document = config::parseDocument(*text, reason);
    if (!document) {
        reason.message = arguments[1] + ": " + reason.message;
        return fail(err, reason, ExitFailed);
    }
    if (isCheck) {
        describe(*document, out);
        return ExitDone;
    }
    // Written anew, since blanks of the file could exceed the limit of a statement.
    std::string statement = "load config " + config::toJson(*document);
    for (const std::string& word : arguments.subspan(2))
        statement += " " + word;
    return send(settings, statement, out, err);
}

} // namespace

ExitCode run(
    const Settings& settings, std::span<const std::string> arguments, std::ostream& out, std::ostream& err)
{
    if (arguments.empty()) {
        return fail(err,
            { ErrorKind::InvalidInput, "no statement is given",
                "give one, as banyancroftctl 'status'; see --help" },
            ExitUsage);
    }
    if (arguments[0] == "config")
        return runConfig(settings, arguments.subspan(1), out, err);
    std::string statement;
    for (const std::string& word : arguments)
        statement += (statement.empty() ? "" : " ") + word;
    return send(settings, statement, out, err);
}

} // namespace banyancroft::ctl
