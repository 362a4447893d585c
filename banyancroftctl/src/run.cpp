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

constexpr unsigned httpOk = 200;
constexpr unsigned httpConflict = 409;
constexpr unsigned httpGatewayTimeout = 504;

ExitCode reportError(std::ostream& err, const Error& reason, ExitCode code)
{
    err << "banyancroftctl: " << reason.message << "; " << reason.remedy << "\n";
    return code;
}

bool mayChangeState(const query::Statement& statement)
{
    return query::isOperatorCommand(statement) || std::holds_alternative<query::Submit>(statement);
}

// The field "outcome" takes precedence over the status, since a proxy may respond with a status of its own.
ExitCode exitCodeOf(const HttpResponse& response, bool mayChange)
{
    if (response.status == httpOk)
        return ExitDone;
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    const bool isFromDaemon = json.is_object() && json.contains("outcome");
    const bool isUnknown
        = isFromDaemon ? json["outcome"] == "unknown" : response.status >= httpGatewayTimeout;
    if (isUnknown && mayChange)
        return ExitUnknown;
    return response.status == httpConflict ? ExitConflict : ExitFailed;
}

ExitCode sendStatement(
    const Settings& settings, const std::string& text, std::ostream& out, std::ostream& err)
{
    Error reason;
    const auto statement = query::parseStatement(text, reason);
    if (!statement)
        return reportError(err, reason, ExitUsage);
    const bool mayChange = mayChangeState(*statement);
    bool sent = false;
    const auto response = postStatement(settings, text, sent, reason);
    if (!response && sent && mayChange) {
        reason.remedy
            = "the statement may have taken effect; check with `status` or `show config`, or send a "
              "submit again with the same key";
        return reportError(err, reason, ExitUnknown);
    }
    if (!response)
        return reportError(err, reason, ExitFailed);
    const ExitCode code = exitCodeOf(*response, mayChange);
    std::ostream& target = code == ExitDone ? out : err;
    target << (settings.format == Format::Json ? response->body : renderTable(response->body));
    if (response->body.empty() || response->body.back() != '\n')
        target << '\n';
    return code;
}

std::optional<std::string> readFile(const std::string& path, Error& reason)
{
    std::ifstream file(path, std::ios::binary);
    // Reads one byte more than allowed, so that an oversized file is detected without reading all of it.
    std::string text(config::maxDocumentBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (!file.is_open() || file.bad()) {
        reason = { ErrorKind::NotFound, "file \"" + path + "\" cannot be read",
            "give the path of a configuration document" };
        return std::nullopt;
    }
    text.resize(static_cast<std::size_t>(file.gcount()));
    return text;
}

void printSummary(const config::Document& document, std::ostream& out)
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

ExitCode runConfigCommand(
    const Settings& settings, std::span<const std::string> arguments, std::ostream& out, std::ostream& err)
{
    const bool isCheck = arguments.size() == 2 && arguments[0] == "check";
    const bool isPut = arguments.size() >= 2 && arguments[0] == "put";
    if (!isCheck && !isPut) {
        return reportError(err,
            { ErrorKind::InvalidInput, "invalid arguments after config",
                "use `config check FILE` or `config put FILE [if version N] [force]`" },
            ExitUsage);
    }
    Error reason;
    const auto text = readFile(arguments[1], reason);
    if (!text)
        return reportError(err, reason, ExitUsage);
    const auto document = config::parseDocument(*text, reason);
    if (!document) {
        reason.message = arguments[1] + ": " + reason.message;
        return reportError(err, reason, ExitFailed);
    }
    if (isCheck) {
        printSummary(*document, out);
        return ExitDone;
    }
    // Serialised again, since whitespace in the file could make the statement exceed its size limit.
    std::string statement = "load config " + config::toJson(*document);
    for (const std::string& word : arguments.subspan(2))
        statement += " " + word;
    return sendStatement(settings, statement, out, err);
}

} // namespace

ExitCode run(
    const Settings& settings, std::span<const std::string> arguments, std::ostream& out, std::ostream& err)
{
    if (arguments.empty()) {
        return reportError(err,
            { ErrorKind::InvalidInput, "no statement given",
                "give one, such as banyancroftctl 'status'; see --help" },
            ExitUsage);
    }
    if (arguments[0] == "check") {
        return reportError(err,
            { ErrorKind::InvalidInput, "flags before check", "give check first, and its flags after it" },
            ExitUsage);
    }
    if (arguments[0] == "config")
        return runConfigCommand(settings, arguments.subspan(1), out, err);
    std::string statement;
    for (const std::string& word : arguments)
        statement += (statement.empty() ? "" : " ") + word;
    return sendStatement(settings, statement, out, err);
}

} // namespace banyancroft::ctl
