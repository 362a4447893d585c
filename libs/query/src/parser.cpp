#include "query/parser.h"

#include "json_text.h"
#include "parse_error.h"
#include "statement_grammar.h"

#include <algorithm>

namespace banyancroft::query {

namespace {

namespace x3 = boost::spirit::x3;

bool checkText(std::string_view text, Error& reason)
{
    const std::string_view trimmed = text.substr(std::min(text.find_first_not_of(" \t\r\n"), text.size()));
    const std::size_t limit = trimmed.starts_with("load") ? maxLoadConfigBytes : maxStatementBytes;
    if (text.size() > limit) {
        reason = { ErrorKind::InvalidInput,
            "the statement has " + std::to_string(text.size()) + " bytes; the limit is "
                + std::to_string(limit),
            "send a shorter statement" };
        return false;
    }
    if (!isUtf8(text)) {
        reason = { ErrorKind::InvalidInput, "the statement is not valid UTF-8", "encode it in UTF-8" };
        return false;
    }
    return true;
}

// Parses the whole text by one rule; false, with the reason filled in, when it does not match.
template <typename Rule>
bool parseWith(const Rule& rule, std::string_view text, grammar::StatementBuilder& builder, Error& reason)
{
    reason = {};
    if (!checkText(text, reason))
        return false;
    grammar::Iterator first = text.begin();
    const auto withBuilder = x3::with<grammar::BuilderTag>(std::ref(builder))[x3::eps > rule];
    try {
        if (x3::phrase_parse(first, text.end(), withBuilder, x3::ascii::space))
            return true;
        reason = expectationError(text, static_cast<std::size_t>(first - text.begin()), "a statement");
    } catch (const x3::expectation_failure<grammar::Iterator>& failure) {
        reason = expectationError(
            text, static_cast<std::size_t>(failure.where() - text.begin()), failure.which());
    } catch (const grammar::GrammarError& error) {
        reason = { ErrorKind::InvalidInput,
            describePosition(text, static_cast<std::size_t>(error.position - text.begin())) + ": "
                + error.message,
            error.remedy };
    }
    return false;
}

} // namespace

std::optional<Statement> parseStatement(std::string_view text, Error& reason)
{
    grammar::StatementBuilder builder;
    if (!parseWith(grammar::statementRule, text, builder, reason))
        return std::nullopt;
    std::visit(
        [&](auto& content) {
            if constexpr (requires { content.options; })
                content.options = builder.options;
        },
        builder.statement);
    return std::move(builder.statement);
}

std::optional<std::string> normaliseCondition(std::string_view text, Error& reason)
{
    grammar::StatementBuilder builder;
    if (!parseWith(grammar::standaloneCondition, text, builder, reason))
        return std::nullopt;
    return std::move(std::get<Search>(builder.statement).where);
}

} // namespace banyancroft::query
