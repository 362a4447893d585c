#pragma once

namespace banyancroft::query {

/** True for characters that may appear in words, numbers and ids. */
inline bool isWordCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9') || character == '_' || character == '.' || character == '-';
}

} // namespace banyancroft::query
