#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace banyancroft::query {

/** Operator precedence, lowest first; a condition needs parentheses inside one of higher precedence. */
enum class Precedence : std::uint8_t { Or, And, Not, Comparison };

/** A condition in normalised text form, built bottom-up. */
struct Condition {
    std::string text;
    Precedence precedence = Precedence::Comparison;
    /** For a negation: the operand, which a second negation restores. */
    std::string negated;
    Precedence negatedPrecedence = Precedence::Comparison;
};

Condition comparison(
    const std::string& field, const std::string& comparisonOperator, const std::string& value);
Condition negation(const Condition& term);
/** Joins terms with `and` or `or`, depending on the precedence; a single term is returned unchanged. */
Condition join(const std::vector<Condition>& terms, Precedence precedence);

} // namespace banyancroft::query
