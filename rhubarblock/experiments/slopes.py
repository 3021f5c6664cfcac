"""Linear least-squares fits of measured points, with standard errors.

A quantity is modelled as a sum of terms, such as ``1``, ``instances`` and
``instances*entries``, each with a coefficient, its slope.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math

CONSTANT = "1"
_PRODUCT = "*"
# A relative spread of the values below this counts as none.
_SPREAD_FLOOR = 1e-9


@dataclasses.dataclass(slots=True, frozen=True)
class Fit:
    """A fitted linear model.

    Attributes:
      terms: terms of the sum.
      slopes: coefficient of each term.
      errors: standard error of each coefficient.
      r_squared: coefficient of determination.
    """

    terms: tuple[str, ...]
    slopes: tuple[float, ...]
    errors: tuple[float, ...]
    r_squared: float

    def predict(self, sizes: Mapping[str, float]) -> float:
        """Returns the predicted quantity.

        Args:
          sizes: value of each factor.
        """
        return sum(
            slope * compute_term(term, sizes)
            for term, slope in zip(self.terms, self.slopes, strict=True)
        )

    def predict_error(self, sizes: Mapping[str, float]) -> float:
        """Returns a bound on the standard error of ``predict``.

        The errors of the terms are added as if none cancelled another.
        """
        return sum(
            error * abs(compute_term(term, sizes))
            for term, error in zip(self.terms, self.errors, strict=True)
        )

    def find_slope(self, term: str) -> float:
        """Returns the coefficient of one term."""
        return self.slopes[self.terms.index(term)]


def compute_term(term: str, sizes: Mapping[str, float]) -> float:
    """Returns the value of a term: a product of factors.

    Args:
      term: names of factors joined by ``*``, or ``1``.
      sizes: value of each factor.
    """
    if term == CONSTANT:
        return 1.0
    return math.prod(sizes[name] for name in term.split(_PRODUCT))


def fit_line(
    terms: Sequence[str],
    points: Sequence[Mapping[str, float]],
    values: Sequence[float],
) -> Fit:
    """Fits slopes by least squares.

    Args:
      terms: terms of the sum.
      points: value of each factor, one mapping for each measurement.
      values: the measured quantity, one value for each point.

    Raises:
      ValueError: there are too few points to estimate errors.
    """
    # Part of the extra "report", which entry instances don't install.
    import numpy as np

    degrees_of_freedom = len(points) - len(terms)
    if degrees_of_freedom < 1:
        raise ValueError(f"{len(points)} points for {len(terms)} terms")
    matrix = np.array([[compute_term(t, p) for t in terms] for p in points])
    targets = np.array(values, dtype=float)
    # Columns of similar magnitude keep the problem well conditioned.
    scale = np.abs(matrix).max(axis=0)
    scale[scale == 0] = 1.0
    scaled = matrix / scale
    coefficients = np.linalg.lstsq(scaled, targets, rcond=None)[0]
    residuals = targets - scaled @ coefficients
    variance = float(residuals @ residuals) / degrees_of_freedom
    covariance = variance * np.linalg.pinv(scaled.T @ scaled)
    errors = np.sqrt(np.clip(np.diag(covariance), 0.0, None))
    spread = float(((targets - targets.mean()) ** 2).sum())
    explained = 1.0
    if spread > _SPREAD_FLOOR * max(1.0, float(targets @ targets)):
        explained -= float(residuals @ residuals) / spread
    return Fit(
        tuple(terms),
        tuple(float(x) for x in coefficients / scale),
        tuple(float(x) for x in errors / scale),
        round(explained, 4),
    )
