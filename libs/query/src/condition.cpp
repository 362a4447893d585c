#include "condition.h"

namespace banyancroft::query {

namespace {

std::string inParentheses(const Condition& term, Precedence around)
{
    return term.precedence < around ? "(" + term.text + ")" : term.text;
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
    return { "not " + inParentheses(term, Precedence::Not), Precedence::Not, term.text, term.precedence };
}

Condition join(const std::vector<Condition>& terms, Precedence precedence)
{
    if (terms.size() == 1)
        return terms.front();
    const char* word = precedence == Precedence::And ? " and " : " or ";
    Condition joined { {}, precedence, {}, {} };
    for (const Condition& term : terms)
        joined.text += (joined.text.empty() ? "" : word) + inParentheses(term, precedence);
    return joined;
}

} // namespace banyancroft::query
