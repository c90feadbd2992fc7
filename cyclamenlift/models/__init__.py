"""The event document: validated models and the data classes in use."""

from cyclamenlift.models.document import document_from_bytes
from cyclamenlift.models.document import document_from_text
from cyclamenlift.models.document import document_to_bytes
from cyclamenlift.models.document import EventDocument
from cyclamenlift.models.document import OperationModel
from cyclamenlift.models.document import ServiceModel
from cyclamenlift.models.rules import EventRules
from cyclamenlift.models.rules import OperationRule
from cyclamenlift.models.rules import rules_from_document
from cyclamenlift.models.rules import ServiceRule

__all__ = [
    'EventDocument',
    'EventRules',
    'OperationModel',
    'OperationRule',
    'ServiceModel',
    'ServiceRule',
    'document_from_bytes',
    'document_from_text',
    'document_to_bytes',
    'rules_from_document',
]
