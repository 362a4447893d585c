#pragma once

#include "condition.h"
#include "tokens.h"

#include <vector>

// Grammar of the condition after `where`.

namespace banyancroft::query::grammar {

inline x3::symbols<std::string> makeOperators()
{
    x3::symbols<std::string> operators;
    for (const char* text : { "=", "!=", "<", "<=", ">", ">=" })
        operators.add(text, text);
    return operators;
}
inline const x3::symbols<std::string> operatorSymbol = makeOperators();

inline const auto comparisonOperator
    = x3::rule<struct OperatorTag, std::string>("a comparison (=, !=, <, <=, > or >=)") = operatorSymbol;

inline const auto reservedWord = keyword("and") | keyword("or") | keyword("not") | keyword("where")
    | keyword("limit") | keyword("deadline") | keyword("require") | keyword("true") | keyword("false")
    | keyword("null");

inline const auto field = x3::rule<struct FieldTag, std::string>("a field")
    = x3::lexeme[!reservedWord >> x3::char_("A-Za-z_")
        >> x3::repeat(0, static_cast<int>(config::maxIdLength) - 1)[x3::char_("A-Za-z0-9_.")] >> !wordTail];

inline const auto setStringValue
    = [](auto& context) { x3::_val(context) = escapeString(x3::_attr(context)); };
inline const auto setLiteral = [](auto& context) { x3::_val(context) = x3::_attr(context); };
inline const auto constant = x3::rule<struct ConstantTag, std::string>("true, false or null")
    = x3::raw[keyword("true") | keyword("false") | keyword("null")][setMatched];

inline const auto value
    = x3::rule<struct ValueTag, std::string>("a value (string, number, true, false or null)")
    = string[setStringValue] | number[setLiteral] | constant[setLiteral];

inline const x3::rule<struct ConditionTag, Condition> condition = "a condition";
inline const x3::rule<struct PrimaryTag, Condition> primary = "a condition (a field, 'not' or '(')";

inline const auto enterParentheses = [](auto& context) {
    if (++builder(context).nestingDepth > maxNesting) {
        throw GrammarError { x3::_where(context).begin() - 1,
            "the condition is nested deeper than " + std::to_string(maxNesting) + " levels",
            "remove parentheses that are not needed" };
    }
};
inline const auto leaveParentheses = [](auto& context) { --builder(context).nestingDepth; };

inline const auto setCondition = [](auto& context) { x3::_val(context) = x3::_attr(context); };

// The parts of a comparison are set one by one, since X3 has no attribute type for all three.
struct ComparisonParts {
    std::string field;
    std::string comparisonOperator;
    std::string value;
};
inline const auto setField = [](auto& context) { x3::_val(context).field = x3::_attr(context); };
inline const auto setOperator
    = [](auto& context) { x3::_val(context).comparisonOperator = x3::_attr(context); };
inline const auto setValue = [](auto& context) { x3::_val(context).value = x3::_attr(context); };
inline const auto comparisonParts = x3::rule<struct ComparisonTag, ComparisonParts>("a comparison")
    = field[setField] > comparisonOperator[setOperator] > value[setValue];

inline const auto setComparison = [](auto& context) {
    const ComparisonParts& parts = x3::_attr(context);
    x3::_val(context) = comparison(parts.field, parts.comparisonOperator, parts.value);
};

inline const auto toggleNegation = [](auto& context) { x3::_val(context) = !x3::_val(context); };
// Repeated `not` is parsed without recursion, so that its number is not limited by the stack.
inline const auto negationParity = x3::rule<struct NegationTag, bool>("'not'")
    = *keyword("not")[toggleNegation];

struct NegatedPrimary {
    bool negated = false;
    Condition term;
};
inline const auto setNegated = [](auto& context) { x3::_val(context).negated = x3::_attr(context); };
inline const auto setTerm = [](auto& context) { x3::_val(context).term = x3::_attr(context); };
inline const auto negatedPrimary = x3::rule<struct NegatedPrimaryTag, NegatedPrimary>("a condition")
    = negationParity[setNegated] > primary[setTerm];

inline const auto applyNegation = [](auto& context) {
    const NegatedPrimary& parts = x3::_attr(context);
    x3::_val(context) = parts.negated ? negation(parts.term) : parts.term;
};
inline const auto factor = x3::rule<struct FactorTag, Condition>("a condition")
    = negatedPrimary[applyNegation];

inline const auto addTerm = [](auto& context) { x3::_val(context).push_back(x3::_attr(context)); };
inline const auto factors = x3::rule<struct FactorsTag, std::vector<Condition>>("a condition")
    = factor[addTerm] >> *(keyword("and") > factor[addTerm]);
inline const auto setAnd
    = [](auto& context) { x3::_val(context) = join(x3::_attr(context), Precedence::And); };
inline const auto conjunction = x3::rule<struct ConjunctionTag, Condition>("a condition") = factors[setAnd];

inline const auto conjunctions = x3::rule<struct ConjunctionsTag, std::vector<Condition>>("a condition")
    = conjunction[addTerm] >> *(keyword("or") > conjunction[addTerm]);
inline const auto setOr = [](auto& context) { x3::_val(context) = join(x3::_attr(context), Precedence::Or); };

inline const auto condition_def = conjunctions[setOr]; // NOLINT(readability-identifier-naming): fixed by X3
inline const auto primary_def // NOLINT(readability-identifier-naming): fixed by X3
    = (keyword("(")[enterParentheses] > condition[setCondition] > keyword(")")[leaveParentheses])
    | comparisonParts[setComparison];

BOOST_SPIRIT_DEFINE(condition, primary)

} // namespace banyancroft::query::grammar
