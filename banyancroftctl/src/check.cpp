#include "ctl/check.h"

#include "platform/operator_files.h"
#include "routing/configuration_check.h"
#include "routing/configuration_diff.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <exception>
#include <fstream>
#include <istream>
#include <iterator>
#include <optional>
#include <ostream>
#include <string_view>
#include <vector>

namespace banyancroft::ctl {

namespace {

using routing::Finding;
using routing::Severity;

/** Well above the few megabytes of a large configuration. */
constexpr std::size_t maxFileBytes = std::size_t { 16 } * 1024 * 1024;
constexpr const char* usageRemedy
    = "use `check FILE [--in-force FILE] [--replicas FILE] [--format text|json]`, with - for standard input";

struct Arguments {
    std::string file;
    std::optional<std::string> inForce;
    std::optional<std::string> replicas;
    bool isJson = false;
};

struct Report {
    std::optional<ConfigVersion> version;
    std::vector<Finding> findings;
    /** Empty without a configuration in force to compare with. */
    std::optional<std::vector<routing::Change>> changes;

    std::size_t count(Severity severity) const
    {
        return static_cast<std::size_t>(std::count_if(findings.begin(), findings.end(),
            [severity](const Finding& finding) { return finding.severity == severity; }));
    }
};

Error invalidUsage(std::string message)
{
    return { ErrorKind::InvalidInput, std::move(message), usageRemedy };
}

std::optional<Arguments> parseArguments(std::span<const std::string> arguments, Error& reason)
{
    Arguments result;
    std::vector<std::string> files;
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        const std::string& argument = arguments[i];
        if (argument == "-" || !argument.starts_with("-")) {
            files.push_back(argument);
            continue;
        }
        const auto nameEnd = std::min(argument.find('='), argument.size());
        const auto name = argument.substr(0, nameEnd);
        if (name != "--in-force" && name != "--replicas" && name != "--format") {
            reason = invalidUsage("unknown flag \"" + name + "\"");
            return std::nullopt;
        }
        if (nameEnd == argument.size() && i + 1 == arguments.size()) {
            reason = invalidUsage(name + " has no value");
            return std::nullopt;
        }
        const auto value = nameEnd == argument.size() ? arguments[++i] : argument.substr(nameEnd + 1);
        if (name == "--in-force") {
            result.inForce = value;
        } else if (name == "--replicas") {
            result.replicas = value;
        } else if (value == "text" || value == "json") {
            result.isJson = value == "json";
        } else {
            reason = invalidUsage("--format: \"" + value + "\" is neither text nor json");
            return std::nullopt;
        }
    }
    const auto fromInput
        = std::count(files.begin(), files.end(), "-") + (result.inForce == "-") + (result.replicas == "-");
    if (files.size() != 1) {
        reason = invalidUsage(files.empty() ? "no file given" : "more than one file given");
    } else if (fromInput > 1) {
        reason = invalidUsage("only one file can be standard input");
    } else {
        result.file = files.front();
        return result;
    }
    return std::nullopt;
}

std::optional<std::string> readAll(const std::string& path, std::istream& in, Error& reason)
{
    std::ifstream file;
    if (path != "-")
        file.open(path, std::ios::binary);
    std::istream& source = path == "-" ? in : file;
    std::string text;
    std::vector<char> block(std::size_t { 64 } * 1024);
    while (source.good() && text.size() <= maxFileBytes) {
        source.read(block.data(), static_cast<std::streamsize>(block.size()));
        text.append(block.data(), static_cast<std::size_t>(source.gcount()));
    }
    if (source.bad() || (path != "-" && !file.is_open())) {
        reason = { ErrorKind::NotFound, "file \"" + path + "\" cannot be read",
            "give the path of a readable file" };
        return std::nullopt;
    }
    if (text.size() > maxFileBytes) {
        reason = { ErrorKind::InvalidInput, "file \"" + path + "\" is larger than 16 MiB",
            "give a smaller file" };
        return std::nullopt;
    }
    return text;
}

Finding rejected(std::string place, const Error& reason, std::string remedy)
{
    return { Severity::Error, std::move(place), "", "rejected by the gateway: " + reason.message,
        std::move(remedy) };
}

/** Counts the replicas that take requests and adds a finding for each invalid registration. */
routing::ReplicaCounts countReplicas(const platform::ReplicaList& list, std::vector<Finding>& findings)
{
    routing::ReplicaCounts counts;
    for (const auto& replica : list.replicas)
        counts[replica.service] += !replica.draining;
    for (const auto& entry : list.rejected)
        findings.push_back(rejected("replica " + std::to_string(entry.position) + " of the list",
            entry.reason, "correct the registration; the gateway ignores it"));
    return counts;
}

/** Empty with a reason if a file cannot be used; an invalid configuration is a finding. */
std::optional<Report> inspect(const Arguments& arguments, std::istream& in, Error& reason)
{
    Report report;
    const auto text = readAll(arguments.file, in, reason);
    if (!text)
        return std::nullopt;
    std::optional<routing::Configuration> inForce;
    if (arguments.inForce) {
        const auto other = readAll(*arguments.inForce, in, reason);
        if (!other)
            return std::nullopt;
        inForce = platform::decodeConfiguration(*other, reason);
        if (!inForce) {
            reason.message = "--in-force: " + reason.message;
            reason.remedy = "give the configuration that is in force";
            return std::nullopt;
        }
    }
    std::optional<routing::ReplicaCounts> replicas;
    if (arguments.replicas) {
        const auto other = readAll(*arguments.replicas, in, reason);
        const auto list = other ? platform::decodeReplicas(*other, reason) : std::nullopt;
        if (!list) {
            reason.message = "--replicas: " + reason.message;
            return std::nullopt;
        }
        replicas = countReplicas(*list, report.findings);
    }
    if (text->size() > platform::maxStoredBytes)
        report.findings.push_back({ Severity::Warning, "", "",
            "the file has " + std::to_string(text->size()) + " bytes; the store takes values up to "
                + std::to_string(platform::maxStoredBytes),
            "publish it without spaces between values, or shorten it" });
    Error rejection;
    const auto configuration = platform::decodeConfiguration(*text, rejection);
    if (!configuration) {
        report.findings.push_back(rejected("", rejection, "correct the document"));
        return report;
    }
    report.version = configuration->version;
    if (inForce) {
        if (auto finding = routing::checkVersion(*inForce, *configuration))
            report.findings.push_back(std::move(*finding));
        report.changes = routing::listChanges(*inForce, *configuration);
    }
    auto findings = routing::checkConfiguration(*configuration, replicas ? &*replicas : nullptr);
    std::move(findings.begin(), findings.end(), std::back_inserter(report.findings));
    std::stable_sort(report.findings.begin(), report.findings.end(),
        [](const Finding& a, const Finding& b) { return a.severity < b.severity; });
    return report;
}

std::string plural(std::size_t number, const char* noun)
{
    return std::to_string(number) + " " + noun + (number == 1 ? "" : "s");
}

/** Replaces control characters, which a terminal would act on. */
void printLine(std::ostream& out, std::string line)
{
    std::replace_if(
        line.begin(), line.end(), [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; },
        '?');
    out << line << "\n";
}

void printText(const Report& report, std::ostream& out)
{
    for (const auto& finding : report.findings) {
        std::string line(toString(finding.severity));
        if (!finding.place.empty())
            line += ": " + finding.place;
        if (!finding.field.empty())
            line += (finding.place.empty() ? ": " : ", ") + finding.field;
        printLine(out, line + ": " + finding.message + "; " + finding.remedy);
    }
    if (report.changes) {
        for (const auto& change : *report.changes)
            printLine(out, "change: " + change.place + ": " + change.text);
    }
    std::string summary
        = report.version ? "version " + std::to_string(report.version->value) : "no valid configuration";
    summary += ": " + plural(report.count(Severity::Error), "error") + ", "
        + plural(report.count(Severity::Warning), "warning") + ", "
        + plural(report.count(Severity::Note), "note");
    if (report.changes)
        summary += ", " + plural(report.changes->size(), "change");
    printLine(out, summary);
}

void printJson(const Report& report, std::ostream& out)
{
    using Json = nlohmann::ordered_json;
    Json json;
    json["version"] = report.version ? Json(report.version->value) : Json();
    json["errors"] = report.count(Severity::Error);
    json["warnings"] = report.count(Severity::Warning);
    json["notes"] = report.count(Severity::Note);
    json["findings"] = Json::array();
    for (const auto& finding : report.findings)
        json["findings"].push_back({ { "severity", toString(finding.severity) }, { "place", finding.place },
            { "field", finding.field }, { "message", finding.message }, { "remedy", finding.remedy } });
    if (report.changes) {
        json["changes"] = Json::array();
        for (const auto& change : *report.changes)
            json["changes"].push_back({ { "place", change.place }, { "change", change.text } });
    }
    // A shortened name may end within a character.
    out << json.dump(2, ' ', false, Json::error_handler_t::replace) << "\n";
}

ExitCode usageError(std::ostream& err, const Error& reason)
{
    printLine(err, "banyancroftctl: " + reason.message + "; " + reason.remedy);
    return ExitUsage;
}

} // namespace

ExitCode check(std::span<const std::string> arguments, std::istream& in, std::ostream& out, std::ostream& err)
{
    Error reason;
    try {
        const auto parsed = parseArguments(arguments, reason);
        const auto report = parsed ? inspect(*parsed, in, reason) : std::nullopt;
        if (!report)
            return usageError(err, reason);
        if (parsed->isJson) {
            printJson(*report, out);
        } else {
            printText(*report, out);
        }
        return report->count(Severity::Error) > 0 ? ExitFailed : ExitDone;
    } catch (const std::exception&) {
        // Such as lack of memory. The library's text could quote a part of the document.
        return usageError(err,
            { ErrorKind::Internal, "the document cannot be checked",
                "report it with the document, without keys" });
    }
}

} // namespace banyancroft::ctl
