#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace banyancroft::query {

/** How tightly a condition binds; a looser one needs parentheses inside a tighter one. */
enum class Precedence : std::uint8_t { Or, And, Not, Comparison };

/** A condition in normalised text form, built from the leaves up. */
struct Condition {
    std::string text;
    Precedence precedence = Precedence::Comparison;
    /** For a negation: what is negated, so that a second negation gives it back. */
    std::string negated;
    Precedence negatedPrecedence = Precedence::Comparison;
};

Condition comparison(
    const std::string& field, const std::string& comparisonOperator, const std::string& value);
Condition negation(const Condition& term);
/** Joins with `and` or `or`, as the precedence says; a single term stays as it is. */
Condition join(const std::vector<Condition>& terms, Precedence precedence);

} // namespace banyancroft::query
