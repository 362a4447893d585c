#pragma once

#include "base/time.h"
#include "config/document.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace banyancroft::config {

/** Where a document was received from. */
enum class DocumentSource : std::uint8_t { Store, Peer };

/** Result of offering a document to the registry. */
enum class OfferResult : std::uint8_t {
    /** The document was newer and is now in force. */
    Adopted,
    /** The document equals the one in force. */
    Same,
    /** The document was older; the one in force stays. */
    Older,
    /** Same version, different content; the one in force stays. Operators must be alerted. */
    DivergedKept,
    /** Same version, different content; the offered one is now in force. Operators must be alerted. */
    DivergedReplaced,
};

/**
 * Holds the configuration in force at one daemon, which only a higher version replaces.
 *
 * Two documents with the same version exist only if the store was restored from an older copy and then
 * edited. The one with the greater JSON text then takes precedence, so that all daemons choose the same
 * one without coordination. Owned by the control thread; cannot fail.
 */
class ConfigurationRegistry {
public:
    /** Puts a document in force if it takes precedence over the current one. */
    OfferResult offer(Document document, DocumentSource source, TimePoint now);

    /** Null before the first document. */
    const std::shared_ptr<const Document>& document() const { return document_; }
    ConfigVersion version() const { return document_ ? document_->version : ConfigVersion {}; }
    /** JSON text of the document in force; empty before the first one. */
    const std::string& text() const { return text_; }

    /**
     * True when the store last returned a document that did not take precedence over the one in force. The
     * one in force must then be written back to the store, and operators alerted.
     */
    bool storeBehind() const { return storeBehindSince_.has_value(); }
    /** When the store was first seen behind; empty when it is not behind. */
    std::optional<TimePoint> storeBehindSince() const { return storeBehindSince_; }
    /** Number of documents seen so far that had the version in force but different content. */
    std::uint64_t divergences() const { return divergences_; }
    /** When the document in force was adopted. */
    TimePoint adoptedAt() const { return adoptedAt_; }

private:
    OfferResult adoptIfNewer(Document document, TimePoint now);

    std::shared_ptr<const Document> document_;
    std::string text_;
    TimePoint adoptedAt_ {};
    std::optional<TimePoint> storeBehindSince_;
    std::uint64_t divergences_ = 0;
};

} // namespace banyancroft::config
