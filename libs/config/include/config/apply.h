#pragma once

#include "base/error.h"
#include "config/document.h"
#include "config/edit.h"

#include <optional>

namespace banyancroft::config {

/**
 * The document after an edit: version + 1, and a higher layout version where the assignment of shards to
 * groups changed. A loaded document gets its version numbers from the document that it replaces.
 * @return empty with ErrorKind::NotFound (unknown id), Conflict (`if version` names another version) or
 * InvalidInput (nothing to change, value out of range, or refused without `force`)
 */
std::optional<Document> applyEdit(const Document& document, const Edit& edit, Error& reason);

/** The first document of a deployment; only `load config` can give it. */
std::optional<Document> applyInitialEdit(const Edit& edit, Error& reason);

/** True when the edit would change nothing but the version numbers. */
bool isInEffect(const Document& document, const Edit& edit);

} // namespace banyancroft::config
