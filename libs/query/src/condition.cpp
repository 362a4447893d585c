#include "condition.h"

namespace banyancroft::query {

namespace {

std::string parenthesiseIfNeeded(const Condition& term, Precedence outerPrecedence)
{
    return term.precedence < outerPrecedence ? "(" + term.text + ")" : term.text;
}

} // namespace

Condition comparison(
    const std::string& field, const std::string& comparisonOperator, const std::string& value)
{
    return { field + " " + comparisonOperator + " " + value, Precedence::Comparison, {}, {} };
}

Condition negation(const Condition& term)
{
    if (term.precedence == Precedence::Not)
        return { term.negated, term.negatedPrecedence, {}, {} };
    return { "not " + parenthesiseIfNeeded(term, Precedence::Not), Precedence::Not, term.text,
        term.precedence };
}

Condition join(const std::vector<Condition>& terms, Precedence precedence)
{
    if (terms.size() == 1)
        return terms.front();
    const char* connective = precedence == Precedence::And ? " and " : " or ";
    Condition joined { {}, precedence, {}, {} };
    for (const Condition& term : terms)
        joined.text += (joined.text.empty() ? "" : connective) + parenthesiseIfNeeded(term, precedence);
    return joined;
}

} // namespace banyancroft::query
