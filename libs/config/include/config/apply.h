#pragma once

#include "base/error.h"
#include "config/document.h"
#include "config/edit.h"

#include <optional>

namespace banyancroft::config {

/**
 * Applies an edit to a document. The result has the next version, and a higher layout version if the
 * assignment of shards to groups changed. A loaded document continues the version numbers of the document
 * that it replaces.
 * @return empty with ErrorKind::NotFound (unknown id), Conflict (`if version` names another version) or
 * InvalidInput (nothing to change, value out of range, or refused without `force`)
 */
std::optional<Document> applyEdit(const Document& document, const Edit& edit, Error& reason);

/**
 * Creates the first document of a deployment, which only `load config` can do.
 * @return empty with ErrorKind::NotFound (any other edit), Conflict (`if version` names a version other than
 * 0) or InvalidInput (invalid document)
 */
std::optional<Document> applyInitialEdit(const Edit& edit, Error& reason);

/** True when the edit would change nothing but the version numbers. */
bool isInEffect(const Document& document, const Edit& edit);

} // namespace banyancroft::config
